import type { KeyValueService } from "../../platform/index.js";
import type { DirectCodec } from "../DirectCodec.js";
import type { HeaderNames } from "../HeaderNames.js";

/** Platform-specific parts that a direct router needs. */
export interface DirectPlatform {
    service: KeyValueService;
    codec: DirectCodec;
    names: HeaderNames;
}
