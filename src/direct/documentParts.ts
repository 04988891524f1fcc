import { computeDigest, computeHash32 } from "../utils/digest.js";
import type { RouteDefinition, RoutingDocument, TeamDefinition } from "./RoutingDocument.js";

/** What a part of a document holds. */
export enum DocumentPartKind {
    /** All that is neither a route nor a team. */
    Frame = "frame",
    Routes = "routes",
    Teams = "teams",
}

/** Part of a routing document that can be sent by itself. */
export type DocumentPart =
    | { kind: DocumentPartKind.Frame; frame: Omit<RoutingDocument, "routes" | "teams" | "version">; hasTeams: boolean }
    | { kind: DocumentPartKind.Routes; routes: RouteDefinition[] }
    | { kind: DocumentPartKind.Teams; teams: TeamDefinition[] };

/** A part with its size when encoded, in bytes. */
export interface SizedPart {
    part: DocumentPart;
    bytes: number;
}

/** Parts of a document by their digests, in order. */
export type DocumentParts = ReadonlyMap<string, SizedPart>;

/** Number of parts over which the routes are spread, and the teams; a change of one entry sends one part. */
const PARTS_PER_LIST = 64;
const DIGEST_LENGTH = 20;

const splitDocuments = new WeakMap<RoutingDocument, DocumentParts>();

/**
 * Splits a document into parts. Equal entries are in equal parts, wherever else two documents differ.
 * @param document - Document, whose parts are kept for later calls.
 */
export function splitDocument(document: RoutingDocument): DocumentParts {
    let parts = splitDocuments.get(document);
    if (parts === undefined) {
        parts = buildParts(document);
        splitDocuments.set(document, parts);
    }
    return parts;
}

/**
 * Joins the parts of a document.
 * @param version - Version of the document.
 * @param parts - Its parts.
 * @returns Undefined if parts are missing.
 */
export function joinParts(version: number, parts: readonly DocumentPart[]): RoutingDocument | undefined {
    const head = parts.find(part => part.kind === DocumentPartKind.Frame);
    if (head === undefined) {
        return undefined;
    }
    const teams = parts.flatMap(part => (part.kind === DocumentPartKind.Teams ? part.teams : []));
    return {
        ...head.frame,
        version,
        routes: parts.flatMap(part => (part.kind === DocumentPartKind.Routes ? part.routes : [])),
        teams: head.hasTeams ? teams : undefined,
    };
}

function buildParts({ routes, services, limits, teams }: RoutingDocument): DocumentParts {
    const parts: DocumentPart[] = [
        { kind: DocumentPartKind.Frame, frame: { services, limits }, hasTeams: teams !== undefined },
        // Routes of one host and prefix, the last of which holds, are in one part.
        ...groupEntries(routes, route => `${route.host.toLowerCase()}${route.pathPrefix}`).map(
            group => ({ kind: DocumentPartKind.Routes, routes: group }) as const,
        ),
        ...groupEntries(teams ?? [], team => team.name).map(
            group => ({ kind: DocumentPartKind.Teams, teams: group }) as const,
        ),
    ];
    return new Map(parts.map(buildSizedPart));
}

function groupEntries<T>(entries: readonly T[], getKey: (entry: T) => string): T[][] {
    const groups = new Map<number, T[]>();
    for (const entry of entries) {
        const place = computeHash32(getKey(entry)) % PARTS_PER_LIST;
        const group = groups.get(place) ?? [];
        group.push(entry);
        groups.set(place, group);
    }
    return [...groups].sort(([left], [right]) => left - right).map(([, group]) => group);
}

function buildSizedPart(part: DocumentPart): [string, SizedPart] {
    const text = JSON.stringify(part);
    return [computeDigest(text).slice(0, DIGEST_LENGTH), { part, bytes: Buffer.byteLength(text) }];
}
