//! The file that switches the OpenAI-style front on: where it listens, and what its API cannot say.

use super::ConfigError;
use serde::Deserialize;
use shedrelay::{ClassId, TenantId};
use shedrelay_settings::Names;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    #[serde(default)]
    model: Vec<FileModel>,
    #[serde(default)]
    key: Vec<FileKey>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileModel {
    name: String,
    class: String,
    tenant: Option<String>,
    deadline_s: f64,
    max_tokens: u32,
}

/// A key as files name it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileKey {
    env: String,
    tenant: String,
}

impl FileKey {
    /// The key, from the environment, and whose it is.
    pub fn read(
        self,
        names: &Names,
        wrong: &impl Fn(String) -> ConfigError,
    ) -> Result<(String, TenantId), ConfigError> {
        let told = std::env::var(&self.env).ok().filter(|told| !told.is_empty());
        let key = told.ok_or_else(|| wrong(format!("{} is not set", self.env)))?;
        Ok((key, tenant(names, &self.tenant, wrong)?))
    }
}

/// A customer by its name.
fn tenant(
    names: &Names,
    name: &str,
    wrong: &impl Fn(String) -> ConfigError,
) -> Result<TenantId, ConfigError> {
    let place = names.tenants.iter().position(|known| known == name);
    place.map(TenantId).ok_or_else(|| wrong(format!("tenant `{name}` is not in the settings")))
}

/// What a model's name stands for.
pub struct Model {
    /// The name that clients use.
    pub name: String,
    /// Its class.
    pub class: ClassId,
    /// The customer, where no key tells.
    pub tenant: Option<TenantId>,
    /// How long a client waits for the first token.
    pub deadline: Duration,
    /// Most tokens of an answer, where the client tells none.
    pub max_tokens: u32,
}

/// The second front's settings.
pub struct OpenAi {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Models.
    pub models: Vec<Model>,
    /// Keys and whose they are; with none, any client is served.
    pub keys: Vec<(String, TenantId)>,
}

impl OpenAi {
    /// Reads the file; the names in it are those of the settings.
    pub fn load(path: &str, names: &Names) -> Result<Self, ConfigError> {
        let wrong = |problem: String| ConfigError::Content { path: path.to_owned(), problem };
        let file: File = super::toml_file(path)?;
        let model = |model: FileModel| {
            let place = names.classes.iter().position(|known| *known == model.class);
            let class =
                place.ok_or_else(|| wrong(format!("class `{}` is not in the settings", model.class)))?;
            if !(model.deadline_s > 0.0 && model.deadline_s <= 3_600.0) || model.max_tokens == 0 {
                return Err(wrong(format!("model `{}`: deadline_s or max_tokens is wrong", model.name)));
            }
            let tenant = model.tenant.as_deref().map(|name| tenant(names, name, &wrong)).transpose()?;
            Ok(Model {
                name: model.name,
                class: ClassId(class),
                tenant,
                deadline: Duration::from_secs_f64(model.deadline_s),
                max_tokens: model.max_tokens,
            })
        };
        let models = file.model.into_iter().map(model).collect::<Result<Vec<_>, _>>()?;
        if models.is_empty() {
            return Err(wrong("no model".to_owned()));
        }
        let keys = file.key.into_iter().map(|key| key.read(names, &wrong)).collect::<Result<_, _>>()?;
        Ok(OpenAi { listen: file.listen, models, keys })
    }
}
