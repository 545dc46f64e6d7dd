/**
 * `npm run scenarios -- --seed N --runs M [--scenario FILE] [--workers K]`:
 * runs consecutive seeds in worker processes and prints each failing seed with
 * the command that replays it. `--print` prints the scenario of a seed instead.
 */
import {ChildProcess, fork} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {availableParallelism} from 'node:os';
import {hideBin} from 'yargs/helpers';
import yargs from 'yargs/yargs';

import {writeFaultScript} from './fault_scripts';
import {Scenario, readScenario} from './scenario_language';
import {describeSeededRun, findFailingSeeds} from './seeded_runs';

interface Options {
  readonly seed: number;
  readonly runs: number;
  readonly workers: number;
  readonly scenario: string | undefined;
  readonly print: boolean;
}

/** Time per run after which a worker is killed. */
const TIMEOUT_PER_RUN_MS = 60_000;

function readOptions(): Options {
  return yargs(hideBin(process.argv))
    .scriptName('npm run scenarios --')
    .option('seed', {type: 'number', default: 1, describe: 'first seed'})
    .option('runs', {type: 'number', default: 100})
    .option('workers', {type: 'number', default: availableParallelism()})
    .option('scenario', {type: 'string', describe: 'file; random if absent'})
    .option('print', {type: 'boolean', default: false})
    .strict()
    .parseSync();
}

function load(file: string | undefined): Scenario | undefined {
  return file === undefined
    ? undefined
    : readScenario(readFileSync(file, 'utf8')).unwrap();
}

function runHere({seed, runs, scenario}: Options): void {
  const failing = findFailingSeeds(seed, runs, load(scenario));
  for (const run of failing) {
    console.log(describeSeededRun(run, scenario));
  }
  console.log(`seeds ${seed} to ${seed + runs - 1}: ${failing.length} failed`);
  process.exitCode = failing.length > 0 ? 1 : 0;
}

function startWorker(options: Options, seed: number, runs: number): void {
  const {scenario} = options;
  const file = scenario === undefined ? [] : ['--scenario', scenario];
  const worker: ChildProcess = fork(
    __filename,
    ['--seed', `${seed}`, '--runs', `${runs}`, '--workers', '1', ...file],
    {timeout: runs * TIMEOUT_PER_RUN_MS},
  );
  worker.on('exit', code => {
    if (code !== 0) {
      process.exitCode = 1;
    }
    if (code === null) {
      console.log(
        `seeds ${seed} to ${seed + runs - 1}: worker was killed; its timeout is ${TIMEOUT_PER_RUN_MS} ms per run`,
      );
    }
  });
}

function runInWorkers(options: Options): void {
  const share = Math.ceil(options.runs / options.workers);
  for (let started = 0; started < options.runs; started += share) {
    const runs = Math.min(share, options.runs - started);
    startWorker(options, options.seed + started, runs);
  }
}

const options = readOptions();
if (options.print) {
  console.log(writeFaultScript(options.seed));
} else if (options.workers > 1 && options.runs > 1) {
  runInWorkers(options);
} else {
  runHere(options);
}
