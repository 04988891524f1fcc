import type { EndpointDirectory } from "../EndpointDirectory.js";
import type { Evacuations } from "./Evacuations.js";

/**
 * Creates the view of the endpoints whose slots are capacity: those of evacuated availability zones are none.
 * @param directory - Known endpoints.
 * @param evacuations - Evacuated zones.
 */
export function createUsableEndpoints(
    directory: Pick<EndpointDirectory, "listServing">,
    evacuations: Pick<Evacuations, "isEvacuated" | "isEmpty">,
): Pick<EndpointDirectory, "listServing"> {
    return {
        listServing(service) {
            const endpoints = directory.listServing(service);
            return evacuations.isEmpty() ? endpoints : endpoints.filter(({ zone }) => !evacuations.isEvacuated(zone));
        },
    };
}
