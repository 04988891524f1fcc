import http from "node:http";
import { listenOn } from "../../src/utils/http.js";

/** One hop of plain HTTP, as the measure for the router: passes requests on in turn, and pipes the answers back. */
const [port, ...targets] = process.argv.slice(2);
let next = 0;
const agent = new http.Agent({ keepAlive: true });
const server = http.createServer((request, response) => {
    const { method, url, headers } = request;
    next = (next + 1) % targets.length;
    const outgoing = http.request(new URL(url ?? "/", targets[next]), { method, headers, agent }, answer => {
        response.writeHead(answer.statusCode ?? 0, answer.headers);
        answer.pipe(response);
    });
    outgoing.on("error", () => response.destroy());
    request.pipe(outgoing);
});
await listenOn(server, Number(port), "127.0.0.1");
