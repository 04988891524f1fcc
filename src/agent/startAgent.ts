import { type AgentSettings, WorkRank } from "../config/index.js";
import { startControlServer } from "../control/index.js";
import { type EndpointFact, createPeerDirectory } from "../membership/index.js";
import { createHttpHostList, createHttpKeyValueService } from "../platform/index.js";
import { type RankFloors, createFairShareQueue } from "../scheduling/index.js";
import { EventId, createLogger, createMetrics, createTracing, startMetricsServer } from "../telemetry/index.js";
import { listenOn } from "../utils/http.js";
import type { RunningProgram } from "../utils/program.js";
import { readMonotonicMs, startLoop, waitFor } from "../utils/time.js";
import { createAgentCore } from "./AgentCore.js";
import { createAgentServer } from "./AgentServer.js";
import { createAttemptLedger } from "./AttemptLedger.js";
import { isEndpointGone } from "./EndpointRun.js";
import { type GroupMember, startGroupMember } from "./GroupMember.js";
import { createHandoverStore } from "./Handover.js";
import { startHeartbeats } from "./HeartbeatSender.js";
import { createCallerMemory, createLimitReport, resolveCallerLimits } from "../memory/index.js";
import { buildAgentControl } from "./agentControl.js";

const HOST_LIST_MS = 1_000;
const HEALTH_MS = 500;
/** Predicted wait of urgent work from which a flood is assumed, in milliseconds. */
const URGENT_FLOOD_MS = 500;
const DRAIN_POLL_MS = 50;
/** Time that readers have to fetch the answers kept, before the process ends, in milliseconds. */
const LINGER_MS = 500;
const RETENTION_MS = 24 * 3_600_000;
const IDEMPOTENT_RETENTION_MS = 10_000;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const MAX_RECORDS = 100_000;
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const MAX_WAITING = 2_000;
const INITIAL_MS_PER_COST = 20;
const DEFAULT_FLOORS: RankFloors = { [WorkRank.Urgent]: 0.5, [WorkRank.Standard]: 0.1, [WorkRank.Deferrable]: 0.05 };

/**
 * Starts an agent.
 * @param settings - Checked settings.
 */
export async function startAgent(settings: AgentSettings): Promise<RunningProgram> {
    const logger = createLogger(settings.host);
    const metrics = createMetrics();
    const tracing = createTracing({ program: "auburnpass-agent", ...settings, collector: settings.traces?.collector });
    const floors: RankFloors = { ...DEFAULT_FLOORS };
    const startedAt = Date.now();
    let policyVersion = 0;
    let sequence = 0;
    let isDown = false;
    const core = createAgentCore({
        endpointUrl: settings.endpoint.url,
        concurrency: settings.endpoint.concurrency,
        stallMs: settings.stallMs,
        ledger: createAttemptLedger({
            retentionMs: RETENTION_MS,
            idempotentRetentionMs: IDEMPOTENT_RETENTION_MS,
            maxAnswerBytes: MAX_ANSWER_BYTES,
            maxRecords: MAX_RECORDS,
        }),
        queue: createFairShareQueue({
            concurrency: settings.endpoint.concurrency,
            floors,
            initialMsPerCost: INITIAL_MS_PER_COST,
            maxWaiting: MAX_WAITING,
        }),
        onEndpointDead() {
            isDown = true;
            void heartbeats.sendNow();
        },
        logger,
    });
    const handovers = createHandoverStore(createHttpKeyValueService({ url: settings.platform.keyValue }));
    const reportLimit = createLimitReport(logger, limit => metrics.callerLimits.inc({ limit }));
    const server = createAgentServer({
        core,
        tracing,
        processKeys: settings.processKeys,
        maxBodyBytes: MAX_BODY_BYTES,
        memory: createCallerMemory(resolveCallerLimits(settings.callerLimits, settings.resources), reportLimit),
    });
    let member: GroupMember | undefined;
    const control = startControlServer(
        server,
        buildAgentControl(core, () => member?.getGuard()),
        settings.processKeys,
    );
    const port = await listenOn(server, settings.listen.data, settings.listen.address);
    const peers = createPeerDirectory(settings.host, settings.routers);
    const hostList = createHttpHostList(settings.platform.hostList);
    const hostLoop = startLoop(
        HOST_LIST_MS,
        async () => peers.recordHosts(await hostList.listHosts()),
        () => undefined,
    );
    const heartbeats = startHeartbeats({
        host: settings.host,
        zone: settings.zone,
        processKey: settings.processKeys[0] ?? "",
        peers,
        buildFact,
        getPolicyVersion: () => policyVersion,
        onPolicy(policy) {
            policyVersion = policy.version;
            Object.assign(floors, policy.floors);
        },
        logger,
    });
    const healthLoop = startLoop(
        HEALTH_MS,
        async () => {
            isDown = await isEndpointGone(settings.endpoint.url);
        },
        () => undefined,
    );
    const monitoring = await startMetricsServer(
        metrics,
        { isReady: () => !core.getLoad().isDraining },
        settings.listen.metrics,
        settings.listen.address,
        reportLimit,
    );
    if (settings.group !== undefined) {
        member = startGroupMember({
            group: settings.group,
            host: settings.host,
            address: settings.advertise?.address ?? settings.listen.address,
            port: settings.advertise?.data ?? port,
            processKey: settings.processKeys[0] ?? "",
            engineUrl: settings.endpoint.url,
            service: createHttpKeyValueService({ url: settings.platform.keyValue }),
            isUrgentFlood: () => core.getLoad().waitMs > URGENT_FLOOD_MS,
            logger,
        });
    }
    logger.logEvent(EventId.ProcessStarted, { program: "auburnpass-agent", zone: settings.zone });
    return { stop };

    function buildFact(): EndpointFact {
        const load = core.getLoad();
        metrics.running.set(load.running);
        sequence++;
        return {
            host: settings.host,
            zone: settings.zone,
            address: settings.advertise?.address ?? settings.listen.address,
            port: settings.advertise?.data ?? port,
            kind: settings.endpoint.kind,
            name: settings.endpoint.name,
            incarnation: core.incarnation,
            startedAt,
            sequence,
            isDraining: load.isDraining,
            isDown,
            concurrency: settings.endpoint.concurrency,
            queued: load.queued,
            running: load.running,
            ahead: load.ahead,
            waitMs: load.waitMs,
        };
    }

    /** A platform that is down leaves the fate of finished calls unknown, but does not hold up the stop. */
    async function publishHandover(): Promise<void> {
        const finished = core.listFinished();
        if (!core.isIdle()) {
            return;
        }
        try {
            await handovers.writeHandover(settings.host, core.incarnation, finished, core.getForgottenUpTo());
        } catch (error) {
            logger.logFailure(EventId.TaskFailed, error, { task: "handover" });
        }
    }

    async function stop(): Promise<void> {
        logger.logEvent(EventId.ProcessDraining);
        core.startDraining();
        await heartbeats.sendNow();
        const until = readMonotonicMs() + settings.drainMs;
        while (!core.isIdle() && readMonotonicMs() < until) {
            await waitFor(DRAIN_POLL_MS);
        }
        await publishHandover();
        await waitFor(LINGER_MS);
        await Promise.all([heartbeats.stop(), hostLoop.stop(), healthLoop.stop(), member?.stop()]);
        core.stop();
        control.close();
        server.closeAllConnections();
        server.close();
        monitoring.close();
        await tracing.stop();
        logger.logEvent(EventId.ProcessStopped);
    }
}
