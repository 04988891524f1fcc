import type http from "node:http";
import type { Socket } from "node:net";
import { ErrorCode, createError } from "../errors/index.js";

/** Bytes before the end of a head from which they are no answer: some heads of the greatest size that the parser takes. */
const MAX_HEAD_BYTES = 65_536;

/**
 * Ends a call whose answer does not get past its head: the parser takes empty lines and informational answers without end.
 * @param call - Call whose connection is open or being opened.
 * @param socket - Its connection, not used before.
 */
export function limitAnswerHead(call: http.ClientRequest, socket: Socket): void {
    let bytes = 0;
    socket.prependListener("data", countBytes);
    call.once("response", () => socket.removeListener("data", countBytes));

    function countBytes(chunk: Buffer): void {
        bytes += chunk.length;
        if (bytes > MAX_HEAD_BYTES) {
            const expected = `the head of an answer within ${MAX_HEAD_BYTES} bytes`;
            call.destroy(createError({ code: ErrorCode.TooLarge, expected, got: "none" }));
        }
    }
}
