import type { DirectCodec } from "../../direct/index.js";
import type { KeyValueService } from "../../platform/index.js";
import type { RankHost } from "./groupIntoBranches.js";
import type { GroupLayout } from "./MapCoordinator.js";

/** Hosts of a group's ranks, and the layout of its experts. */
export interface GroupMembers {
    /** Hosts by rank. */
    hosts: Map<number, RankHost>;
    /** Undefined if the document does not contain the service or its engine's experts. */
    layout: GroupLayout | undefined;
}

/**
 * Lists the members of a group from the platform's store. Entries may be seconds old, so the
 * caller verifies each rank's position by its own report.
 * @param service - Platform's store.
 * @param codec - Decodes entries.
 * @param serviceName - Service to which the group belongs.
 * @param group - Name of the group.
 */
export async function listMembers(
    service: KeyValueService,
    codec: DirectCodec,
    serviceName: string,
    group: string,
): Promise<GroupMembers> {
    const [endpoints, layout] = await Promise.all([
        service.listSnapshot(codec.endpointPrefix, { isStaleAllowed: true }),
        readLayout(service, codec, serviceName),
    ]);
    const hosts = new Map<number, RankHost>();
    for (const entry of endpoints.entries) {
        const decoded = codec.decodeEndpoint(entry);
        const member = "value" in decoded ? decoded.value : undefined;
        if (member?.group?.name === group) {
            const { rank } = member.group;
            hosts.set(rank, { rank, host: member.host, zone: member.zone });
        }
    }
    return { hosts, layout };
}

async function readLayout(
    service: KeyValueService,
    codec: DirectCodec,
    serviceName: string,
): Promise<GroupLayout | undefined> {
    const listing = await service.listSnapshot(codec.documentPrefix, { isStaleAllowed: true });
    const entry = listing.entries.find(candidate => codec.isDocumentKey(candidate.key));
    const decoded = entry && codec.decodeDocument(entry.value);
    const document = decoded !== undefined && "value" in decoded ? decoded.value : undefined;
    const engine = document?.services.find(candidate => candidate.name === serviceName)?.engine;
    return engine?.experts && { ...engine.experts, slots: engine.slots };
}
