//! Settings of the OpenAI-style API: its address, models and keys.

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

/// An API key in a settings file: the environment variable that contains it, and its tenant.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileKey {
    env: String,
    tenant: String,
}

impl FileKey {
    /// Reads the key from the environment and looks its tenant up.
    pub fn read(
        self,
        names: &Names,
        invalid: &impl Fn(String) -> ConfigError,
    ) -> Result<(String, TenantId), ConfigError> {
        let value = std::env::var(&self.env).ok().filter(|value| !value.is_empty());
        let key = value.ok_or_else(|| invalid(format!("environment variable {} is not set", self.env)))?;
        Ok((key, tenant(names, &self.tenant, invalid)?))
    }
}

/// Looks a tenant up by name.
fn tenant(
    names: &Names,
    name: &str,
    invalid: &impl Fn(String) -> ConfigError,
) -> Result<TenantId, ConfigError> {
    let index = names.tenants.iter().position(|known| known == name);
    index.map(TenantId).ok_or_else(|| invalid(format!("tenant `{name}` is not in the settings")))
}

/// A model of the API.
pub struct Model {
    /// The name in requests.
    pub name: String,
    /// The class of its requests.
    pub class: ClassId,
    /// The tenant of requests without a key.
    pub tenant: Option<TenantId>,
    /// How long clients wait for the first token.
    pub deadline: Duration,
    /// Limit on an answer's tokens for requests that state none.
    pub max_tokens: u32,
}

/// Settings of the OpenAI-style API.
pub struct OpenAi {
    /// Address for clients.
    pub listen: SocketAddr,
    /// The models; at least one.
    pub models: Vec<Model>,
    /// Keys with their tenants. If there are none, clients need no key.
    pub keys: Vec<(String, TenantId)>,
}

impl OpenAi {
    /// Reads and validates the file. Its classes and tenants are looked up in `names`.
    pub fn load(path: &str, names: &Names) -> Result<Self, ConfigError> {
        let invalid = |problem: String| ConfigError::Content { path: path.to_owned(), problem };
        let file: File = super::toml_file(path)?;
        let model = |model: FileModel| {
            let index = names.classes.iter().position(|known| *known == model.class);
            let class =
                index.ok_or_else(|| invalid(format!("class `{}` is not in the settings", model.class)))?;
            if !(model.deadline_s > 0.0 && model.deadline_s <= 3_600.0) || model.max_tokens == 0 {
                return Err(invalid(format!(
                    "model `{}`: deadline_s must be above 0 and at most 3600, and max_tokens at least 1",
                    model.name
                )));
            }
            let tenant = model.tenant.as_deref().map(|name| tenant(names, name, &invalid)).transpose()?;
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
            return Err(invalid("no [[model]] is defined".to_owned()));
        }
        let keys = file.key.into_iter().map(|key| key.read(names, &invalid)).collect::<Result<_, _>>()?;
        Ok(OpenAi { listen: file.listen, models, keys })
    }
}
