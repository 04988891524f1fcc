import { settleFromEvents } from "../../utils/settleFromEvents.js";
import type { AnswerSink } from "./AnswerSink.js";
import { type AttemptChannel, ChannelEnd } from "./AttemptChannel.js";

/**
 * Relays an agent's answer from a channel to a sink.
 * @param channel - Source of the answer.
 * @param sink - Destination of the answer.
 * @param signal - Cancels the transfer when the caller disconnects.
 * @returns True if the complete answer was relayed.
 */
export async function relayAnswer(channel: AttemptChannel, sink: AnswerSink, signal: AbortSignal): Promise<boolean> {
    try {
        return await relayChannel(channel, sink, signal);
    } catch (error) {
        channel.cancel();
        throw error;
    }
}

function relayChannel(channel: AttemptChannel, sink: AnswerSink, signal: AbortSignal): Promise<boolean> {
    return settleFromEvents(({ resolve, guard }) => {
        signal.addEventListener("abort", cancel, { once: true });
        if (signal.aborted) {
            cancel();
            return;
        }
        sink.writeHead(channel.head);
        sink.onDrain(() => channel.resume());
        let isAccepting = true;
        const writeChunk = guard((chunk: Buffer) => {
            isAccepting = sink.writeChunk(chunk);
        });
        channel.readInto({
            onChunk(chunk) {
                writeChunk(chunk);
                return isAccepting;
            },
            onEnd: guard((end: ChannelEnd) => {
                signal.removeEventListener("abort", cancel);
                const isComplete = end === ChannelEnd.Complete;
                if (isComplete) {
                    sink.finish();
                }
                resolve(isComplete);
            }),
        });

        function cancel(): void {
            channel.cancel();
            resolve(false);
        }
    });
}
