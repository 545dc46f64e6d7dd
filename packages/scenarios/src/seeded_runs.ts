/** Many seeded runs, each of which can be replayed from its seed. */
import {runScenario} from './run_scenario';
import {Scenario, readScenario} from './scenario_language';
import {writeFaultScript} from './fault_scripts';

/** What a run found, in words; empty if all held. */
export interface SeededRun {
  readonly seed: number;
  readonly findings: readonly string[];
}

/** The scenario of a seed: the given one, or random faults. */
export function scenarioOfSeed(seed: number, given?: Scenario): Scenario {
  return given ?? readScenario(writeFaultScript(seed)).unwrap();
}

/** Runs a seed; a run that breaks off is a finding too. */
export function runSeed(seed: number, given?: Scenario): SeededRun {
  try {
    const report = runScenario(scenarioOfSeed(seed, given), seed);
    const violations = report.violations.map(
      ({invariant, operation, message}) =>
        `${invariant}, operation ${operation}: ${message}`,
    );
    return {seed, findings: [...violations, ...report.unmet]};
  } catch (error: unknown) {
    return {seed, findings: [`run broke off: ${String(error)}`]};
  }
}

/** Runs consecutive seeds and gives those with findings. */
export function findFailingSeeds(
  first: number,
  runs: number,
  given?: Scenario,
): SeededRun[] {
  // ts-results takes a stack trace for each failure: a sixth of a run's time.
  const limit = Error.stackTraceLimit;
  Error.stackTraceLimit = 0;
  try {
    const seeds = Array.from(
      {length: runs},
      (unusedItem, index) => first + index,
    );
    return seeds
      .map(seed => runSeed(seed, given))
      .filter(({findings}) => findings.length > 0);
  } finally {
    Error.stackTraceLimit = limit;
  }
}

/** A failing run in words, with the command that replays it. */
export function describeSeededRun(
  {seed, findings}: SeededRun,
  scenarioFile?: string,
): string {
  const file = scenarioFile === undefined ? '' : ` --scenario ${scenarioFile}`;
  return [
    `seed ${seed}: npm run scenarios -- --seed ${seed} --runs 1${file}`,
    ...findings.map(finding => `  ${finding}`),
  ].join('\n');
}
