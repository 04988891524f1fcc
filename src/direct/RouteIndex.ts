import type { RouteStructure, RoutingDocument, ServiceStructure, TeamKeys } from "./RoutingDocument.js";

/** Immutable look-up over one version of the routing document. */
export interface RouteIndex {
    readonly document: RoutingDocument;
    /** Finds the route with the longest prefix of the path. */
    findRoute(host: string, path: string): RouteStructure | undefined;
    findTeam(key: string): TeamKeys | undefined;
    findService(name: string): ServiceStructure | undefined;
    /**
     * Gets the place of a request in the order of urgency: first by its team's or its own, then by its route's.
     * @returns 0 for the most urgent; at most 4.
     */
    getUrgencyLevel(urgency: number, routeUrgency: number): number;
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
    const levels = listLevels(document);
    return {
        document,
        findRoute,
        findTeam: key => byKey.get(key),
        getUrgencyLevel,
        findService: name => byName.get(name),
        hasTeams: () => document.teams !== undefined,
    };

    function getUrgencyLevel(urgency: number, routeUrgency: number): number {
        const place = Math.max(0, levels.indexOf(urgency * ROUTE_LEVELS + routeUrgency));
        return Math.floor((place * LEVELS) / Math.max(LEVELS, levels.length));
    }

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

/** Route urgencies that one urgency of a team is divided into. */
const ROUTE_LEVELS = 1_000;
/** Levels that an endpoint's queue can tell apart for requests that are still in time. */
const LEVELS = 5;

/** Lists the urgencies that requests can have, most urgent first. */
function listLevels(document: RoutingDocument): number[] {
    const teams = document.teams ?? [];
    const ofTeams = teams.flatMap(team => (team.urgency === undefined ? [] : [team.urgency]));
    const hasPlainCallers = teams.length === 0 || ofTeams.length < teams.length;
    const levels = new Set<number>();
    for (const { urgency, isPublic } of document.routes) {
        const own = hasPlainCallers || isPublic ? [urgency] : [];
        [...ofTeams, ...own].forEach(first => levels.add(first * ROUTE_LEVELS + urgency));
    }
    return [...levels].sort((left, right) => left - right);
}

function removePort(host: string): string {
    return host.replace(/:\d+$/, "");
}
