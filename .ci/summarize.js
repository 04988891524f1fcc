// Prints the failures of a test run, and the closing line `N passed, N failed`.
// Failures listed in KNOWN-RED.txt are printed, and do not fail the run.
import { existsSync, readFileSync } from "node:fs";

const [logFile, status] = process.argv.slice(2);
const lines = readFileSync(logFile, "utf8").split("\n");
const tests = lines.filter(line => /^ {4}(not )?ok \d+ - /.test(line) && !/# (SKIP|TODO)/i.test(line));
const failed = tests.filter(line => line.includes("not ok "));
const known = existsSync("KNOWN-RED.txt")
    ? readFileSync("KNOWN-RED.txt", "utf8")
          .split("\n")
          .filter(line => line.startsWith("test: "))
          .map(line => line.slice("test: ".length).trim())
    : [];
const nameOf = line => /- (.*?)( # time=.*)?( \{)?$/.exec(line)?.[1]?.trim() ?? line;
const knownFailures = failed.filter(line => known.includes(nameOf(line)));
const newFailures = failed.filter(line => !known.includes(nameOf(line)));
const isBroken = newFailures.length > 0 || (Number(status) !== 0 && failed.length === 0);
if (isBroken) {
    console.log(lines.slice(-400).join("\n"));
}
knownFailures.forEach(line => console.log(`known red: ${nameOf(line)}`));
newFailures.forEach(line => console.log(`failed: ${nameOf(line)}`));
const extra = isBroken && newFailures.length === 0 ? 1 : 0;
console.log(`${tests.length - failed.length} passed, ${newFailures.length + extra} failed`);
process.exit(isBroken ? 1 : 0);
