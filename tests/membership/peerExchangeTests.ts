import http from "node:http";
import t from "tap";
import { buildRouter, processProcedure, startControlServer } from "../../src/control/index.js";
import type { StoredDocument } from "../../src/config/index.js";
import { createEndpointTable } from "../../src/membership/EndpointTable.js";
import { startPeerExchange } from "../../src/membership/PeerExchange.js";
import { createLogger } from "../../src/telemetry/logger.js";
import { listenOn } from "../../src/utils/http.js";
import { waitFor } from "../../src/utils/time.js";

const ADDRESS = "127.0.0.1";
const KEY = "key-of-the-tests";
const HOSTS = ["r2", "r3", "r4"];
/** Time that a router takes to send its document, in milliseconds. */
const SEND_MS = 300;

t.test(
    "a document is fetched from one router at a time, however many announce it, and from another after a failure",
    async t => {
        const calls = { running: 0, most: 0, all: 0, isFailing: true };
        const stored: StoredDocument = { version: 5, text: "", operator: "operator", at: 0 };
        const router = buildRouter({
            getDocument: processProcedure.query(async () => {
                calls.all++;
                calls.running++;
                calls.most = Math.max(calls.most, calls.running);
                await waitFor(SEND_MS);
                calls.running--;
                if (calls.isFailing) {
                    throw new Error("no answer");
                }
                return stored;
            }),
        });
        const server = http.createServer();
        const port = await listenOn(server, 0, ADDRESS);
        const control = startControlServer(server, router, [KEY]);
        let version = 0;
        const logger = createLogger("test", { writeLine: () => undefined, flush: () => Promise.resolve() });
        const exchange = startPeerExchange({
            host: "r1",
            zone: "a",
            processKey: KEY,
            peers: {
                recordHosts: () => undefined,
                listPeers: () => HOSTS.map(host => ({ host, zone: "a", address: ADDRESS, port })),
                choosePeers: () => [],
            },
            table: createEndpointTable(),
            getDocumentVersion: () => version,
            listSuspects: () => [],
            listPartReports: () => [],
            onDocument: document => (version = document.version),
            onZoneSilent: () => undefined,
            logger,
        });
        t.teardown(async () => {
            await exchange.stop();
            control.close();
            server.close();
        });
        HOSTS.forEach(host => exchange.handleVersion(host, 5));
        await waitFor(2 * SEND_MS);
        calls.isFailing = false;
        HOSTS.forEach(host => exchange.handleVersion(host, 5));
        await waitFor(2 * SEND_MS);
        t.equal(calls.most, 1, "copies of the document on their way");
        t.equal(calls.all, 2);
        t.equal(version, 5);
    },
);
