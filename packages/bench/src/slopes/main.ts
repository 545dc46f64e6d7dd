/**
 * `npm run measure-slopes [-- PART...]` measures how the cost of each role of a
 * proxy grows with its load, in virtual time with small stand-ins. It prints text
 * tables to standard output, then JSON lines.
 */
import {measureAuditSeries} from './audit_slope';
import {measureManifestSeries} from './manifest_slope';
import {measureMembershipSeries} from './membership_slope';
import {measurePromotionSeries} from './promotion_slope';
import {measureRankSeries} from './rank_slope';
import {Series, formatSeries, seriesAsJsonLines} from './series';
import {measureFailureDetectorSeries} from './failure_detector_slope';

const PARTS: Readonly<Record<string, () => Series[]>> = {
  watcher: measureFailureDetectorSeries,
  promoter: measurePromotionSeries,
  manifest: measureManifestSeries,
  audit: measureAuditSeries,
  rank: measureRankSeries,
  membership: measureMembershipSeries,
};

function main(names: readonly string[]): void {
  const chosen = names.length === 0 ? Object.keys(PARTS) : names;
  const unknown = chosen.filter(name => PARTS[name] === undefined);
  if (unknown.length > 0) {
    console.error(
      `Unknown parts: ${unknown.join(', ')}. Available parts: ${Object.keys(PARTS).join(', ')}.`,
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
