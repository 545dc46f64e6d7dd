/**
 * `npm run measure-slopes [-- PART...]`: what each role of a proxy costs as its
 * work grows, in virtual time with small stand-ins. Text to standard output,
 * then JSON lines.
 */
import {measureAuditTrail} from './audit_slope';
import {measureManifests} from './manifest_slope';
import {measureMemberships} from './membership_slope';
import {measurePromoter} from './promotion_slope';
import {Series, formatSeries, seriesAsJsonLines} from './series';
import {measureWatchers} from './watcher_slope';

const PARTS: Readonly<Record<string, () => Series[]>> = {
  watcher: measureWatchers,
  promoter: measurePromoter,
  manifest: measureManifests,
  audit: measureAuditTrail,
  membership: measureMemberships,
};

function main(names: readonly string[]): void {
  const chosen = names.length === 0 ? Object.keys(PARTS) : names;
  const unknown = chosen.filter(name => PARTS[name] === undefined);
  if (unknown.length > 0) {
    console.error(
      `Unknown: ${unknown.join(', ')}. Parts: ${Object.keys(PARTS).join(', ')}.`,
    );
    process.exitCode = 2;
    return;
  }
  const lines: string[] = [];
  for (const name of chosen) {
    for (const series of PARTS[name]?.() ?? []) {
      console.log(formatSeries(series));
      lines.push(...seriesAsJsonLines(series));
    }
  }
  lines.forEach(line => console.log(line));
}

main(process.argv.slice(2));
