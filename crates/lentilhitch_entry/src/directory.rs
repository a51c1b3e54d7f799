//! Configuration in force, indexed for lookups by requests.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use lentilhitch_config::{
    Application, Declaration, Language, PublishedDeclarations, Repeat, Service, ServiceKind, Team,
    TokenDigest, Upstream,
};
use lentilhitch_types::UpstreamName;

/// Application service that serves a call, its settings, and whether the call may be repeated.
pub(crate) type RouteMatch<'a> = (&'a Arc<Service>, &'a Application, Repeat);

/// Index of the published declarations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    team_by_token: FxHashMap<TokenDigest, Arc<Team>>,
    pub(crate) teams: Vec<Arc<Team>>,
    pub(crate) services: Vec<Arc<Service>>,
    service_by_model: FxHashMap<String, Arc<Service>>,
    pub(crate) upstreams: FxHashMap<UpstreamName, Upstream>,
}

impl Directory {
    /// Builds the index from the published declarations.
    pub(crate) fn new(published: &PublishedDeclarations) -> Self {
        let mut directory = Self::default();
        for (_, versioned) in published.iter() {
            match &versioned.declaration {
                Some(Declaration::Team(team)) => directory.add_team(Arc::new(team.clone())),
                Some(Declaration::Service(service)) => {
                    directory.add_service(Arc::new(service.clone()));
                }
                None => {}
            }
        }
        directory
    }

    /// Returns the team that a bearer token with this digest belongs to.
    pub(crate) fn team(&self, token: &TokenDigest) -> Option<&Arc<Team>> {
        self.team_by_token.get(token)
    }

    /// Returns the language service that serves a model, and its settings.
    pub(crate) fn by_model(&self, model: &str) -> Option<(&Arc<Service>, &Language)> {
        let service = self.service_by_model.get(model)?;
        language(service).map(|it| (service, it))
    }

    /// Returns the application with the longest route that matches, and whether the call may be repeated.
    pub(crate) fn by_path(&self, method: &str, path: &str) -> Option<RouteMatch<'_>> {
        let mut longest: Option<(usize, RouteMatch<'_>)> = None;
        for service in &self.services {
            let ServiceKind::Application(application) = &service.kind else { continue };
            for route in application.routes.iter().filter(|it| it.matches(method, path)) {
                if longest.as_ref().is_none_or(|it| it.0 < route.path.len()) {
                    longest =
                        Some((route.path.len(), (service, application, route.repeat(method))));
                }
            }
        }
        longest.map(|it| it.1)
    }

    fn add_team(&mut self, team: Arc<Team>) {
        for digest in &team.token_sha256 {
            self.team_by_token.insert(digest.clone(), team.clone());
        }
        self.teams.push(team);
    }

    fn add_service(&mut self, service: Arc<Service>) {
        if let ServiceKind::Language(language) = &service.kind {
            for model in &language.models {
                self.service_by_model.insert(model.clone(), service.clone());
            }
        }
        for upstream in &service.upstreams {
            self.upstreams.insert(upstream.name.clone(), upstream.clone());
        }
        self.services.push(service);
    }
}

/// Returns the settings of a language service, or `None` for an application.
pub(crate) fn language(service: &Service) -> Option<&Language> {
    match &service.kind {
        ServiceKind::Language(language) => Some(language),
        ServiceKind::Application(_) => None,
    }
}
