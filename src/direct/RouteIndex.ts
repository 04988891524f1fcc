import type { RouteDefinition, RoutingDocument, ServiceDefinition, TeamDefinition } from "./RoutingDocument.js";

/** Immutable lookup tables for one version of the routing document. */
export interface RouteIndex {
    readonly document: RoutingDocument;
    /** Finds the route whose prefix is the longest match for the path. */
    findRoute(host: string, path: string): RouteDefinition | undefined;
    findTeam(key: string): TeamDefinition | undefined;
    findService(name: string): ServiceDefinition | undefined;
    /**
     * Gets the queueing level of a request, ordered by the urgency of the caller and then by that of the route.
     * @param urgency - Urgency of the caller's team, or of the route if the team has none.
     * @returns 0 for the most urgent level; at most 4.
     */
    getUrgencyLevel(urgency: number, routeUrgency: number): number;
    /** Returns whether callers of non-public routes need a team's key. */
    hasTeams(): boolean;
}

/**
 * Creates the index of a document.
 * @param document - Validated document.
 */
export function createRouteIndex(document: RoutingDocument): RouteIndex {
    const routesByHost = new Map<string, Map<string, RouteDefinition>>();
    for (const route of document.routes) {
        const host = route.host.toLowerCase();
        const routes = routesByHost.get(host) ?? new Map<string, RouteDefinition>();
        routes.set(route.pathPrefix, route);
        routesByHost.set(host, routes);
    }
    const teamsByKey = new Map((document.teams ?? []).flatMap(team => team.keys.map(key => [key, team] as const)));
    const servicesByName = new Map(document.services.map(service => [service.name, service]));
    const combinedUrgencies = listCombinedUrgencies(document);
    return {
        document,
        findRoute,
        findTeam: key => teamsByKey.get(key),
        getUrgencyLevel,
        findService: name => servicesByName.get(name),
        hasTeams: () => document.teams !== undefined,
    };

    function getUrgencyLevel(urgency: number, routeUrgency: number): number {
        const position = Math.max(0, combinedUrgencies.indexOf(urgency * ROUTE_URGENCY_RANGE + routeUrgency));
        return Math.floor((position * URGENCY_LEVELS) / Math.max(URGENCY_LEVELS, combinedUrgencies.length));
    }

    function findRoute(host: string, path: string): RouteDefinition | undefined {
        const routes = routesByHost.get(removePort(host).toLowerCase());
        if (routes === undefined) {
            return undefined;
        }
        const end = path.search(/[?#]/);
        const pathname = end === -1 ? path : path.slice(0, end);
        for (let slash = pathname.lastIndexOf("/"); slash >= 0; slash = pathname.lastIndexOf("/", slash - 1)) {
            const route = routes.get(pathname.slice(0, slash + 1));
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

/** Factor that combines two urgencies into one number; route urgencies are below it. */
const ROUTE_URGENCY_RANGE = 1_000;
/** Number of levels that an endpoint's queue distinguishes among requests before their deadline. */
const URGENCY_LEVELS = 5;

/** Lists the combined urgencies of callers and routes that can occur, most urgent first. */
function listCombinedUrgencies(document: RoutingDocument): number[] {
    const teams = document.teams ?? [];
    const teamUrgencies = teams.flatMap(team => (team.urgency === undefined ? [] : [team.urgency]));
    const usesRouteUrgency = teams.length === 0 || teamUrgencies.length < teams.length;
    const combined = new Set<number>();
    for (const { urgency, isPublic } of document.routes) {
        const callerUrgencies = usesRouteUrgency || isPublic ? [urgency] : [];
        [...teamUrgencies, ...callerUrgencies].forEach(first => combined.add(first * ROUTE_URGENCY_RANGE + urgency));
    }
    return [...combined].sort((left, right) => left - right);
}

function removePort(host: string): string {
    return host.replace(/:\d+$/, "");
}
