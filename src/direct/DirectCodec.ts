import type { KeyValueEntry } from "../platform/index.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { RoutingDocument } from "./RoutingDocument.js";

/** A decoded value, or the reason why it can't be used. */
export type Decoded<T> = { value: T } | { problem: string };

/** Reads what the platform keeps in its key-value service. */
export abstract class DirectCodec {
    /** Prefix below which the routing document lies. */
    abstract readonly documentPrefix: string;
    /** Prefix below which the endpoints register themselves. */
    abstract readonly endpointPrefix: string;
    /** Tells whether a key holds the routing document. */
    abstract isDocumentKey(key: string): boolean;
    abstract decodeDocument(text: string): Decoded<RoutingDocument>;
    abstract decodeEndpoint(entry: KeyValueEntry): Decoded<EndpointRecord>;
    /** Reads the identifier of an endpoint from its key. */
    abstract getEndpointId(key: string): string;
}
