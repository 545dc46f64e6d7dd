/** Runs of consecutive seeds; each can be replayed from its seed. */
import {runScenario} from './run_scenario';
import {Scenario, readScenario} from './scenario_language';
import {writeFaultScript} from './fault_scripts';

/** Findings of a run as text; empty if all checks passed. */
export interface SeededRun {
  readonly seed: number;
  readonly findings: readonly string[];
}

/** Returns the given scenario, or random faults drawn from the seed. */
export function scenarioForSeed(seed: number, scenario?: Scenario): Scenario {
  return scenario ?? readScenario(writeFaultScript(seed)).unwrap();
}

/** Runs a seed; an exception is reported as a finding. */
export function runSeed(seed: number, scenario?: Scenario): SeededRun {
  try {
    const report = runScenario(scenarioForSeed(seed, scenario), seed);
    const violations = report.violations.map(
      ({invariant, operation, message}) =>
        `${invariant}, operation ${operation}: ${message}`,
    );
    return {seed, findings: [...violations, ...report.unmet]};
  } catch (error: unknown) {
    return {seed, findings: [`run failed with an exception: ${String(error)}`]};
  }
}

/** Runs consecutive seeds and returns those with findings. */
export function findFailingSeeds(
  first: number,
  runs: number,
  scenario?: Scenario,
): SeededRun[] {
  // ts-results captures a stack trace for each `Err`: a sixth of a run's time.
  const limit = Error.stackTraceLimit;
  Error.stackTraceLimit = 0;
  try {
    const seeds = Array.from(
      {length: runs},
      (unusedItem, index) => first + index,
    );
    return seeds
      .map(seed => runSeed(seed, scenario))
      .filter(({findings}) => findings.length > 0);
  } finally {
    Error.stackTraceLimit = limit;
  }
}

/** Describes a failing run, with the command that replays it. */
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
