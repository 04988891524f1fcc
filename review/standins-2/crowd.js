// A process of its own: callers that send chunked bodies in chunks of one byte, stop short of the end and stay open.
// Arguments: address, port, number of callers, chunks of a body.
import { Buffer } from "node:buffer";
import net from "node:net";
import process from "node:process";

const [address, port, callers, chunks] = process.argv.slice(2);
const BLOCK_CHUNKS = 5000;
const block = Buffer.from("1\r\nx\r\n".repeat(BLOCK_CHUNKS));
let open = 0;
let stopped = 0;

for (let index = 0; index < Number(callers); index++) {
    const head = [
        "POST /book/1 HTTP/1.1",
        "Host: desk.example",
        `Attempt-Id: crowd-${index}`,
        "X-Api-Key: key-shop",
        "Deadline-Ms: 4000",
        "Transfer-Encoding: chunked",
    ];
    const socket = net.connect(Number(port), address, () => {
        open++;
        socket.write(`${head.join("\r\n")}\r\n\r\n`);
        sendOn(socket, Number(chunks));
    });
    socket.on("error", () => undefined);
    socket.on("close", () => open--);
    socket.resume();
}

function sendOn(socket, chunksLeft) {
    let left = chunksLeft;
    const send = () => {
        while (left > 0 && !socket.destroyed) {
            left -= BLOCK_CHUNKS;
            if (!socket.write(block)) {
                socket.once("drain", send);
                return;
            }
        }
        stopped++;
    };
    send();
}

process.on("message", () => process.send({ open, stopped }));
process.on("disconnect", () => process.exit(0));
