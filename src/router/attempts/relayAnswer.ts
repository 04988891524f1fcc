import type { AnswerSink } from "./AnswerSink.js";
import { type AttemptChannel, ChannelEnd } from "./AttemptChannel.js";

/**
 * Relays an agent's answer from a channel to a sink.
 * @param channel - Source of the answer.
 * @param sink - Destination of the answer.
 * @param signal - Cancels the transfer when the caller disconnects.
 * @returns True if the complete answer was relayed.
 */
export function relayAnswer(channel: AttemptChannel, sink: AnswerSink, signal: AbortSignal): Promise<boolean> {
    return new Promise(resolve => {
        signal.addEventListener("abort", cancel, { once: true });
        if (signal.aborted) {
            cancel();
            return;
        }
        sink.writeHead(channel.head);
        sink.onDrain(() => channel.resume());
        channel.readInto({
            onChunk: chunk => sink.writeChunk(chunk),
            onEnd(end) {
                signal.removeEventListener("abort", cancel);
                const isComplete = end === ChannelEnd.Complete;
                if (isComplete) {
                    sink.finish();
                }
                resolve(isComplete);
            },
        });

        function cancel(): void {
            channel.cancel();
            resolve(false);
        }
    });
}
