/** Scenario texts with random faults, each determined by its seed. */
import {Random, createRandom} from '@kelpstep/runtime';

import {DEPLOYMENTS, Deployment, DeploymentName, memberId} from './deployments';

/** Words of one action, without its time. */
type ActionWords = string;

/** A fault: what happens and, if it can end, what ends it. */
interface Fault {
  readonly starts: readonly ActionWords[];
  readonly ends?: ActionWords;
}

interface FaultChoice {
  readonly random: Random;
  readonly deployment: Deployment;
  readonly proxies: number;
  /** A second kill could take a majority, and records with it, for good. */
  readonly mayKillTarget: boolean;
}

type FaultFactory = (choice: FaultChoice) => Fault;

const FEWEST_PROXIES = 3;
const MOST_PROXIES = 8;
const LOAD_END = 2200;
const FIRST_FAULT = {from: 150, to: 500};
/** Before, during and after the detection and repair of the first fault. */
const SECOND_FAULT = {from: -100, to: 1100};
const FAULT_LENGTH = {from: 20, to: 1200};
const LOST_ANSWERS = 6;
const LONGEST_DELAY = 600;

function target({random, deployment}: FaultChoice): string {
  const member = memberId(deployment, 0, random.integer(0, 2));
  return random.pick(['primary', 'primary', 'replica-1', member]);
}

function proxy({random, proxies}: FaultChoice): string {
  return `proxy-${random.integer(1, proxies)}`;
}

function dataCentre({random, deployment}: FaultChoice): string {
  return random.pick(deployment.dataCentres);
}

function killTarget(choice: FaultChoice): Fault {
  const verb = choice.mayKillTarget ? 'kill-target' : 'isolate-target';
  const ends = choice.mayKillTarget ? {} : {ends: 'heal-network'};
  return {starts: [`${verb} ${target(choice)}`], ...ends};
}

function freezeTarget(choice: FaultChoice): Fault {
  const name = target(choice);
  return {starts: [`freeze-target ${name}`], ends: `thaw-target ${name}`};
}

function isolateReplicas({deployment}: FaultChoice): Fault {
  const starts = [0, 1].map(
    index => `isolate-target ${memberId(deployment, 0, index)}`,
  );
  return {starts, ends: 'heal-network'};
}

function lagTarget(choice: FaultChoice): Fault {
  const name = memberId(choice.deployment, 0, choice.random.integer(0, 2));
  const lag = choice.random.integer(100, 1500);
  return {
    starts: [`lag-target ${name} ${lag}`],
    ends: `lag-target ${name} 20`,
  };
}

function loseAnswers(choice: FaultChoice): Fault {
  const count = choice.random.integer(1, LOST_ANSWERS);
  return {starts: [`lose-target-answers ${target(choice)} ${count}`]};
}

function delayAnswers(choice: FaultChoice): Fault {
  const name = memberId(choice.deployment, 0, choice.random.integer(0, 2));
  const delay = choice.random.integer(5, LONGEST_DELAY);
  return {
    starts: [`delay-target-answers ${name} ${delay}`],
    ends: `delay-target-answers ${name} 0`,
  };
}

function killProxy(choice: FaultChoice): Fault {
  const name = proxy(choice);
  return {starts: [`kill-proxy ${name}`], ends: `start-proxy ${name}`};
}

function freezeProxy(choice: FaultChoice): Fault {
  const name = proxy(choice);
  return {starts: [`freeze-proxy ${name}`], ends: `thaw-proxy ${name}`};
}

function cutFromBoth(choice: FaultChoice): Fault {
  const name = dataCentre(choice);
  return {
    starts: [
      `cut-data-centre ${name}`,
      `cut-data-centre-from-platform ${name}`,
    ],
    ends: 'heal-network',
  };
}

const FAULTS: readonly FaultFactory[] = [
  killTarget,
  killTarget,
  freezeTarget,
  freezeTarget,
  choice => ({
    starts: [`isolate-target ${target(choice)}`],
    ends: 'heal-network',
  }),
  choice => ({
    starts: [`isolate-from-group ${target(choice)}`],
    ends: 'heal-network',
  }),
  isolateReplicas,
  lagTarget,
  loseAnswers,
  delayAnswers,
  killProxy,
  freezeProxy,
  choice => ({starts: [`stop-proxy ${proxy(choice)}`]}),
  choice => ({starts: [`silence-proxy ${proxy(choice)}`]}),
  choice => ({
    starts: [`cut-data-centre ${dataCentre(choice)}`],
    ends: 'heal-network',
  }),
  cutFromBoth,
  choice => ({
    starts: [`cut-data-centre-from-platform ${dataCentre(choice)}`],
    ends: 'heal-network',
  }),
  () => ({starts: ['platform-down'], ends: 'platform-up'}),
  ({random}) => ({
    starts: [`platform-slow ${random.integer(50, 2000)}`],
    ends: 'platform-up',
  }),
  ({random}) => ({
    starts: [`platform-loses-answers ${random.integer(1, LOST_ANSWERS)}`],
  }),
  choice => ({starts: [`manifest-leaving ${target(choice)}`]}),
  choice => ({starts: [`list-leaving ${target(choice)}`]}),
];

/** Writes the scenario that a seed stands for: one fault or a pair. */
export function writeFaultScript(seed: number): string {
  const random = createRandom(seed);
  const name = random.pick<DeploymentName>(['office', 'utility']);
  const deployment = DEPLOYMENTS[name];
  const proxies = random.integer(FEWEST_PROXIES, MOST_PROXIES);
  const firstAt = random.integer(FIRST_FAULT.from, FIRST_FAULT.to);
  const choice = {random, deployment, proxies, mayKillTarget: true};
  const lines = timedLines(random, random.pick(FAULTS)(choice), firstAt);
  if (random.integer(0, 2) > 0) {
    const mayKillTarget = !lines.some(line => line.includes('kill-target'));
    const fault = random.pick(FAULTS)({...choice, mayKillTarget});
    const offset = random.integer(SECOND_FAULT.from, SECOND_FAULT.to);
    lines.push(...timedLines(random, fault, firstAt + offset));
  }
  return [
    `# Random faults of seed ${seed}.`,
    `deployment ${name}`,
    `proxies ${proxies}`,
    'sessions 4',
    'period 80',
    'deadline 1000',
    `end ${LOAD_END}`,
    ...lines,
    '',
  ].join('\n');
}

function timedLines(random: Random, fault: Fault, at: number): string[] {
  const lines = fault.starts.map(action => `at ${at} ${action}`);
  if (fault.ends !== undefined) {
    const length = random.integer(FAULT_LENGTH.from, FAULT_LENGTH.to);
    lines.push(`at ${at + length} ${fault.ends}`);
  }
  return lines;
}
