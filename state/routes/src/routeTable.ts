/**
 * Route lookup by host and longest path prefix.
 */
import { hasSameOrganisations, OrganisationIndex } from "./organisations";
import type { MeshConfiguration, Route } from "./types";

/**
 * Routes and organisations of one configuration version. Immutable, so that a call uses the same table from start to
 * end.
 */
export class RouteTable {
    private readonly byHost = new Map<string, Map<string, Route>>();

    readonly organisations: OrganisationIndex;

    /** Takes the index of the organisations over from `previous` if they are the same, because it may be large. */
    constructor(readonly configuration: MeshConfiguration, previous?: RouteTable) {
        const { organisations } = configuration;
        this.organisations = previous !== undefined
            && hasSameOrganisations(previous.configuration.organisations, organisations)
            ? previous.organisations
            : new OrganisationIndex(organisations);
        for (const route of configuration.routes) {
            const routes = this.byHost.get(route.host) ?? new Map<string, Route>();
            this.byHost.set(route.host, routes);
            routes.set(route.pathPrefix, route);
        }
    }

    get version(): number {
        return this.configuration.version;
    }

    /** Returns the route with the longest matching path prefix. The case of `host` is ignored. */
    find(host: string, path: string): Route | undefined {
        const routes = this.byHost.get(host.toLowerCase());
        if (routes === undefined) {
            return undefined;
        }
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = routes.get(path.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    }
}
