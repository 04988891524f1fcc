import type { EndpointView } from "../../membership/index.js";
import { readMonotonicMs } from "../../utils/time.js";
import type { CallTarget } from "../Exchange.js";
import type { RouterContext } from "../RouterContext.js";

/** Replicas of a service that are asked at most. */
const MAX_ASKED = 16;
/** Time for which an asked agent refuses the key, in milliseconds. */
const BAR_MS = 30_000;
/** A life this long has seen whatever was sent before the platform failed, in milliseconds. */
const LEAST_LIFE_MS = 120_000;

/**
 * Asks every agent of a service to confirm that a key was not run, and to refuse it for a while.
 * @param context - Router.
 * @param target - Service.
 * @param keyDigest - Digest of team and idempotency key.
 * @returns True only if all agents could be asked, and each has lived long enough to know.
 */
export async function confirmNotRun(context: RouterContext, target: CallTarget, keyDigest: string): Promise<boolean> {
    const views = context.table
        .listAll()
        .filter(view => view.fact.kind === target.kind && view.fact.name === target.name);
    const youngest = Math.max(...views.map(view => view.fact.startedAt));
    if (views.length === 0 || views.length > MAX_ASKED || Date.now() - youngest < LEAST_LIFE_MS) {
        return false;
    }
    const answers = await Promise.all(views.map(view => barAt(context, view, keyDigest)));
    return answers.every(isBarred => isBarred);
}

async function barAt(context: RouterContext, view: EndpointView, keyDigest: string): Promise<boolean> {
    const { host, address, port, incarnation } = view.fact;
    const askedAt = readMonotonicMs();
    const report = await context.agentConnections.barKey({ host, address, port }, keyDigest, BAR_MS);
    const isInTime = readMonotonicMs() - askedAt < BAR_MS;
    return report !== undefined && report.incarnation === incarnation && report.isBarred && isInTime;
}
