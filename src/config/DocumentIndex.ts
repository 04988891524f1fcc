import type {
    EnvironmentDocument,
    RankStructure,
    ServiceStructure,
    TeamStructure,
    VersionedDocument,
} from "./EnvironmentDocument.js";
import type { WorkRank } from "./WorkRank.js";

/** Facts by which the rules of a document choose a rank of work. */
export interface RuleFacts {
    team: string;
    model: string | undefined;
    purpose: string | undefined;
}

/** A call of a plain service. */
export type ServiceCall = ServiceStructure["calls"][number];

/** Look-ups in one version of the document. */
export interface DocumentIndex {
    readonly version: number;
    readonly document: EnvironmentDocument;
    getTeam(keyDigest: string): TeamStructure | undefined;
    getRank(rank: WorkRank): RankStructure;
    hasModel(model: string): boolean;
    /** Chooses the rank of work of a model's request: the first rule that fits, else the model's own. */
    chooseRank(facts: RuleFacts): WorkRank;
    getCall(service: string, method: string, path: string): ServiceCall | undefined;
    hasService(service: string): boolean;
}

/**
 * Creates the look-ups of a document.
 * @param versioned - Document with its version.
 */
export function createDocumentIndex(versioned: VersionedDocument): DocumentIndex {
    const { document, version } = versioned;
    const teams = new Map(document.teams.flatMap(team => team.keyDigests.map(digest => [digest, team] as const)));
    const models = new Map(document.models.map(model => [model.name, model]));
    const services = new Map(document.services.map(service => [service.name, service]));
    return {
        version,
        document,
        getTeam: keyDigest => teams.get(keyDigest),
        getRank: rank => document.ranks[rank],
        hasModel: model => models.has(model),
        chooseRank,
        getCall,
        hasService: service => services.has(service),
    };

    function chooseRank(facts: RuleFacts): WorkRank {
        const rule = document.rules.find(
            candidate =>
                (candidate.team === undefined || candidate.team === facts.team) &&
                (candidate.model === undefined || candidate.model === facts.model) &&
                (candidate.purpose === undefined || candidate.purpose === facts.purpose),
        );
        return (rule?.rank ?? models.get(facts.model ?? "")?.rank) as WorkRank;
    }

    function getCall(service: string, method: string, path: string): ServiceCall | undefined {
        return services.get(service)?.calls.find(call => call.method === method && isPathMatch(call.path, path));
    }
}

function isPathMatch(pattern: string, path: string): boolean {
    const plain = path.split("?")[0] ?? path;
    return pattern.endsWith("*") ? plain.startsWith(pattern.slice(0, -1)) : plain === pattern;
}
