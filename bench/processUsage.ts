import { readFileSync } from "node:fs";

/** Processor time and memory that a process has used. */
export interface ProcessUsage {
    cpuMs: number;
    residentMb: number;
}

const MS_PER_TICK = 10;
const KB_PER_MB = 1024;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/**
 * Reads what a process has used so far.
 * @param pid - Process.
 */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? "0");
    return { cpuMs: ticks * MS_PER_TICK, residentMb: residentKb / KB_PER_MB };
}
