import { type DocumentIndex, createDocumentIndex } from "./DocumentIndex.js";
import { checkEnvironment } from "./checkEnvironment.js";
import type { EnvironmentDocument } from "./EnvironmentDocument.js";
import { formatFinding } from "./Finding.js";

/** A version of an environment's document, as it is kept and passed on. */
export interface StoredDocument {
    /** Grows by one with each accepted change. */
    version: number;
    /** YAML text. */
    text: string;
    /** Operator who made the change. */
    operator: string;
    /** Wall-clock time of the change, in milliseconds. */
    at: number;
}

/** Answer to an offered version. */
export enum OfferResult {
    Applied = "applied",
    /** The version in force is the same or a higher one. */
    NotNewer = "not-newer",
    Invalid = "invalid",
}

/** Holds the document in force in a process, which never goes back to a lower version. */
export interface DocumentHolder {
    /**
     * Applies a document if its version is higher than the one in force.
     * @param stored - Document that the platform or a peer offers.
     */
    offerDocument(stored: StoredDocument): OfferResult;
    getIndex(): DocumentIndex | undefined;
    getStored(): StoredDocument | undefined;
    /** Version in force; 0 before the first. */
    getVersion(): number;
    /** Findings of the last invalid document. */
    getFindings(): string[];
    onApplied(listener: (stored: StoredDocument) => void): void;
}

/** Creates a holder without a document. */
export function createDocumentHolder(): DocumentHolder {
    const listeners: ((stored: StoredDocument) => void)[] = [];
    let index: DocumentIndex | undefined;
    let current: StoredDocument | undefined;
    let findings: string[] = [];

    return {
        offerDocument,
        getIndex: () => index,
        getStored: () => current,
        getVersion: () => current?.version ?? 0,
        getFindings: () => findings,
        onApplied(listener) {
            listeners.push(listener);
        },
    };

    function offerDocument(stored: StoredDocument): OfferResult {
        if (stored.version <= (current?.version ?? 0)) {
            return OfferResult.NotNewer;
        }
        const document = readDocument(stored);
        if (document === undefined) {
            return OfferResult.Invalid;
        }
        current = stored;
        index = createDocumentIndex({ version: stored.version, document });
        listeners.forEach(listener => listener(stored));
        return OfferResult.Applied;
    }

    function readDocument(stored: StoredDocument): EnvironmentDocument | undefined {
        const checked = checkEnvironment(`version ${stored.version}`, stored.text);
        findings = checked.findings.map(formatFinding);
        return checked.value;
    }
}
