import type { RouteStructure, RoutingDocument, ServiceStructure, TeamKeys } from "./RoutingDocument.js";

/** Immutable look-up over one version of the routing document. */
export interface RouteIndex {
    readonly document: RoutingDocument;
    /** Finds the route with the longest prefix of the path. */
    findRoute(host: string, path: string): RouteStructure | undefined;
    findTeam(key: string): TeamKeys | undefined;
    findService(name: string): ServiceStructure | undefined;
    /** Callers of routes that aren't public need a team's key. */
    hasTeams(): boolean;
}

/**
 * Creates the index of a document.
 * @param document - Checked document.
 */
export function createRouteIndex(document: RoutingDocument): RouteIndex {
    const byHost = new Map<string, Map<string, RouteStructure>>();
    for (const route of document.routes) {
        const host = route.host.toLowerCase();
        const routes = byHost.get(host) ?? new Map<string, RouteStructure>();
        routes.set(route.pathPrefix, route);
        byHost.set(host, routes);
    }
    const byKey = new Map((document.teams ?? []).flatMap(team => team.keys.map(key => [key, team] as const)));
    const byName = new Map(document.services.map(service => [service.name, service]));
    return {
        document,
        findRoute,
        findTeam: key => byKey.get(key),
        findService: name => byName.get(name),
        hasTeams: () => document.teams !== undefined,
    };

    function findRoute(host: string, path: string): RouteStructure | undefined {
        const routes = byHost.get(removePort(host).toLowerCase());
        if (routes === undefined) {
            return undefined;
        }
        const end = path.search(/[?#]/);
        const bare = end === -1 ? path : path.slice(0, end);
        for (let slash = bare.lastIndexOf("/"); slash >= 0; slash = bare.lastIndexOf("/", slash - 1)) {
            const route = routes.get(bare.slice(0, slash + 1));
            if (route !== undefined) {
                return route;
            }
            if (slash === 0) {
                break;
            }
        }
        return undefined;
    }
}

function removePort(host: string): string {
    return host.replace(/:\d+$/, "");
}
