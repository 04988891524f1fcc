import type { RoutingDocument } from "../RoutingDocument.js";

const targetsByDocument = new WeakMap<RoutingDocument, Map<string, number>>();

/**
 * Finds the longest target of the streams of a service, in milliseconds; computed once for each document.
 * @param document - Routes in force.
 * @param service - Name of the service.
 */
export function findLongestTarget(document: RoutingDocument, service: string): number {
    const targets = targetsByDocument.get(document) ?? buildTargets(document);
    targetsByDocument.set(document, targets);
    return targets.get(service) ?? 0;
}

function buildTargets(document: RoutingDocument): Map<string, number> {
    const targets = new Map<string, number>();
    for (const { shares, targetMs, maxPauseMs } of document.routes) {
        for (const { service } of maxPauseMs > 0 ? shares : []) {
            targets.set(service, Math.max(targets.get(service) ?? 0, targetMs));
        }
    }
    return targets;
}
