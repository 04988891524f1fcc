import { TRPCError, initTRPC } from "@trpc/server";
import { isEqualInConstantTime } from "../utils/digest.js";

/** Facts of a control connection. */
export interface ControlContext {
    /** Key that the other process presented. */
    processKey: string;
    /** Keys that are accepted. */
    acceptedKeys: readonly string[];
}

const trpc = initTRPC.context<ControlContext>().create();

/** Builds routers of control procedures. */
export const buildRouter = trpc.router;

/** Procedure that only processes with an accepted key may call. */
export const processProcedure = trpc.procedure.use(options => {
    const { processKey, acceptedKeys } = options.ctx;
    if (!acceptedKeys.some(key => isEqualInConstantTime(key, processKey))) {
        throw new TRPCError({ code: "UNAUTHORIZED", message: "Expected an accepted process key" });
    }
    return options.next();
});
