import type { EndpointKind } from "../config/index.js";
import { type HostEntry, HostRole, HostState } from "../platform/index.js";
import { type EndpointFact, isNewerFact } from "./EndpointFact.js";

/** Where a fact came from, which decides to whom it is passed on. */
export enum FactOrigin {
    /** The agent itself. */
    Agent = "agent",
    /** A router of the own availability zone. */
    OwnZone = "own-zone",
    /** A router of another availability zone. */
    OtherZone = "other-zone",
}

/** An endpoint as a router sees it. */
export interface EndpointView {
    fact: EndpointFact;
    origin: FactOrigin;
    /** Monotonic time of the last news, in milliseconds. */
    heardAt: number;
    /** Requests that this router has in flight there. */
    inFlight: number;
    /** The host list says that the host is leaving. */
    isListedLeaving: boolean;
    /** Monotonic time until which the endpoint is avoided after a failure, in milliseconds. */
    avoidedUntil: number;
    /** Monotonic time since when the endpoint is known, for its slow start, in milliseconds. */
    knownSince: number;
}

/** Facts that changed, and the version of the table that they lead to. */
export interface FactChanges {
    version: number;
    facts: EndpointFact[];
}

/** Load that came with an answer. */
export type LoadNews = Pick<EndpointFact, "queued" | "running" | "isDraining" | "ahead">;

/** The endpoints that a router knows. */
export interface EndpointTable {
    /** Takes in a fact; false if a newer one is known. */
    recordFact(fact: EndpointFact, origin: FactOrigin, now: number): boolean;
    /** Takes in the host list, a hint that lags. */
    recordHosts(hosts: readonly HostEntry[]): void;
    /** Takes in the load that came with an answer. */
    recordLoad(host: string, news: LoadNews): void;
    recordFailure(host: string, now: number): void;
    recordSuccess(host: string): void;
    changeInFlight(host: string, change: number): void;
    getEndpoint(host: string): EndpointView | undefined;
    /** Lists the endpoints that take new work of a model or service. */
    listUsable(kind: EndpointKind, name: string, now: number): EndpointView[];
    listAll(): EndpointView[];
    /** Lists the facts of some origins that changed after a version of the table. */
    listFactsAfter(version: number, origins: readonly FactOrigin[]): FactChanges;
    forgetSilent(now: number): EndpointView[];
}

/** Time without news after which an endpoint gets no new work, in milliseconds. */
export const SILENT_AFTER_MS = 3_500;
const FORGET_AFTER_MS = 60_000;
const AVOID_MS = 2_000;

/** Creates an empty table. */
export function createEndpointTable(): EndpointTable {
    const endpoints = new Map<string, EndpointView>();
    const byName = new Map<string, Set<EndpointView>>();
    const changedAt = new Map<string, number>();
    let version = 0;

    return {
        recordFact,
        recordHosts,
        recordLoad,
        recordFailure(host, now) {
            const view = endpoints.get(host);
            if (view !== undefined) {
                view.avoidedUntil = now + AVOID_MS;
            }
        },
        recordSuccess(host) {
            const view = endpoints.get(host);
            if (view !== undefined) {
                view.avoidedUntil = 0;
            }
        },
        changeInFlight(host, change) {
            const view = endpoints.get(host);
            if (view !== undefined) {
                view.inFlight = Math.max(0, view.inFlight + change);
            }
        },
        getEndpoint: host => endpoints.get(host),
        listUsable,
        listAll: () => [...endpoints.values()],
        listFactsAfter,
        forgetSilent,
    };

    function recordFact(fact: EndpointFact, origin: FactOrigin, now: number): boolean {
        const known = endpoints.get(fact.host);
        if (known !== undefined && !isNewerFact(fact, known.fact)) {
            return false;
        }
        version++;
        changedAt.set(fact.host, version);
        if (known === undefined) {
            addView(createView(fact, origin, now));
            return true;
        }
        if (known.fact.incarnation !== fact.incarnation) {
            known.knownSince = now;
            known.avoidedUntil = 0;
        }
        removeFromName(known);
        known.fact = fact;
        known.origin = origin;
        known.heardAt = now;
        addToName(known);
        return true;
    }

    function recordHosts(hosts: readonly HostEntry[]): void {
        const leaving = new Set(hosts.filter(isLeavingEndpoint).map(host => host.host));
        for (const view of endpoints.values()) {
            view.isListedLeaving = leaving.has(view.fact.host);
        }
    }

    function recordLoad(host: string, news: LoadNews): void {
        const view = endpoints.get(host);
        if (view !== undefined) {
            view.fact = { ...view.fact, ...news, isDraining: view.fact.isDraining || news.isDraining };
        }
    }

    function listUsable(kind: EndpointKind, name: string, now: number): EndpointView[] {
        const named = byName.get(createName(kind, name));
        return named === undefined ? [] : [...named].filter(view => isUsable(view, now));
    }

    function listFactsAfter(after: number, origins: readonly FactOrigin[]): FactChanges {
        const facts: EndpointFact[] = [];
        for (const [host, changed] of changedAt) {
            const view = endpoints.get(host);
            if (changed > after && view !== undefined && origins.includes(view.origin)) {
                facts.push(view.fact);
            }
        }
        return { version, facts };
    }

    function forgetSilent(now: number): EndpointView[] {
        const gone = [...endpoints.values()].filter(view => view.heardAt + FORGET_AFTER_MS < now);
        for (const view of gone) {
            endpoints.delete(view.fact.host);
            changedAt.delete(view.fact.host);
            removeFromName(view);
        }
        return gone;
    }

    function addView(view: EndpointView): void {
        endpoints.set(view.fact.host, view);
        addToName(view);
    }

    function addToName(view: EndpointView): void {
        const name = createName(view.fact.kind, view.fact.name);
        const named = byName.get(name) ?? new Set();
        named.add(view);
        byName.set(name, named);
    }

    function removeFromName(view: EndpointView): void {
        byName.get(createName(view.fact.kind, view.fact.name))?.delete(view);
    }
}

/**
 * Tells whether an endpoint takes new work.
 * @param view - Endpoint.
 * @param now - Monotonic time in milliseconds.
 */
export function isUsable(view: EndpointView, now: number): boolean {
    const isSilent = view.heardAt + SILENT_AFTER_MS < now;
    return !isSilent && !view.fact.isDraining && !view.fact.isDown && !view.isListedLeaving;
}

function isLeavingEndpoint(host: HostEntry): boolean {
    return host.role === HostRole.Endpoint && host.state === HostState.Leaving;
}

function createName(kind: EndpointKind, name: string): string {
    return `${kind}/${name}`;
}

function createView(fact: EndpointFact, origin: FactOrigin, now: number): EndpointView {
    return { fact, origin, heardAt: now, inFlight: 0, isListedLeaving: false, avoidedUntil: 0, knownSince: now };
}
