import { createTwoFilesPatch } from "diff";
import {
    type DocumentHolder,
    type DocumentRepository,
    type StoredDocument,
    checkEnvironment,
    formatFinding,
} from "../config/index.js";
import type { PeerVersion } from "../membership/index.js";
import { createId } from "../utils/digest.js";
import { readMonotonicMs, waitFor } from "../utils/time.js";

/** Results of a change. */
export enum ChangeStatus {
    Accepted = "accepted",
    /** Another operator was faster, or the version that the operator saw no longer stands. */
    Conflict = "conflict",
    Invalid = "invalid",
}

/** Report of a change. */
export interface ChangeReport {
    status: ChangeStatus;
    /** Version that stands now; 0 for none. */
    version: number;
    findings: string[];
    /** Difference between the version that stands and the proposed text. */
    difference: string;
    /** Hosts where the version is in force. */
    inForce: string[];
    /** Hosts that could not be reached. */
    unreachable: string[];
    /** Hosts that could be reached, and had not applied the version in time. */
    behind: string[];
}

/** Parts that a change needs. */
export interface ChangeOptions {
    repository: DocumentRepository;
    holder: DocumentHolder;
    host: string;
    /** Environment of this router. */
    environment: string;
    /** Applies the version here, and sends it to the peers. */
    publish: (stored: StoredDocument) => Promise<void>;
    queryVersions: () => Promise<PeerVersion[]>;
}

/** A change that an operator asks for. */
export interface ChangeRequest {
    environment: string;
    /** Version that the operator saw. */
    baseVersion: number;
    text: string;
    operator: string;
}

const FORCE_MS = 6_000;
const POLL_MS = 200;

/**
 * Writes a new version of a document, and waits until it is in force at every host that can be reached.
 * @param options - Parts.
 * @param request - Change.
 */
export async function applyChange(options: ChangeOptions, request: ChangeRequest): Promise<ChangeReport> {
    const checked = checkEnvironment("document", request.text);
    const report = createReport(ChangeStatus.Invalid, request.baseVersion);
    if (checked.value?.environment !== request.environment) {
        const wrong = checked.value && `document:1:1 environment: expected ${request.environment}`;
        return { ...report, findings: [...checked.findings.map(formatFinding), ...(wrong ? [wrong] : [])] };
    }
    const { environment, baseVersion, text, operator } = request;
    const answer = await options.repository.writeDocument(environment, baseVersion, text, operator, createId("write"));
    if (!answer.isWritten) {
        return createConflict(answer.current, text);
    }
    const version = answer.current?.version ?? baseVersion + 1;
    if (environment !== options.environment || answer.current === undefined) {
        return createReport(ChangeStatus.Accepted, version);
    }
    await options.publish(answer.current);
    return { ...createReport(ChangeStatus.Accepted, version), ...(await waitUntilInForce(options, version)) };
}

/**
 * Promotes the trial document to production.
 * @param options - Parts.
 * @param trialVersion - Version of the trial document that the operator saw.
 * @param productionVersion - Version of the production document that the operator saw; 0 for none.
 * @param operator - Operator.
 */
export async function promoteTrial(
    options: ChangeOptions,
    trialVersion: number,
    productionVersion: number,
    operator: string,
): Promise<ChangeReport> {
    const trial = await options.repository.readDocument("trial");
    if (trial === undefined || trial.version !== trialVersion) {
        return createConflict(trial, "");
    }
    const text = trial.text.replace(/^environment:.*$/m, "environment: production");
    return applyChange(options, { environment: "production", baseVersion: productionVersion, text, operator });
}

async function waitUntilInForce(
    options: ChangeOptions,
    version: number,
): Promise<Pick<ChangeReport, "inForce" | "unreachable" | "behind">> {
    const until = readMonotonicMs() + FORCE_MS;
    for (;;) {
        const versions = await options.queryVersions();
        const own = { host: options.host, version: options.holder.getVersion() };
        const behind = [own, ...versions].filter(peer => peer.version !== undefined && peer.version < version);
        if (behind.length === 0 || readMonotonicMs() >= until) {
            return {
                inForce: [own, ...versions].filter(peer => (peer.version ?? 0) >= version).map(peer => peer.host),
                unreachable: versions.filter(peer => peer.version === undefined).map(peer => peer.host),
                behind: behind.map(peer => peer.host),
            };
        }
        await waitFor(POLL_MS);
    }
}

function createConflict(current: StoredDocument | undefined, proposed: string): ChangeReport {
    const version = current?.version ?? 0;
    const report = createReport(ChangeStatus.Conflict, version);
    return { ...report, difference: createDifference(`version ${version}`, current?.text ?? "", "proposed", proposed) };
}

/**
 * Creates the difference of two texts in the unified format.
 * @param oldName - Name of the first text.
 * @param oldText - First text.
 * @param newName - Name of the second text.
 * @param newText - Second text.
 */
export function createDifference(oldName: string, oldText: string, newName: string, newText: string): string {
    return createTwoFilesPatch(oldName, newName, oldText, newText, undefined, undefined, { context: 1 });
}

function createReport(status: ChangeStatus, version: number): ChangeReport {
    return { status, version, findings: [], difference: "", inForce: [], unreachable: [], behind: [] };
}
