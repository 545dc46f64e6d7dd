/** Generates scenario texts with random faults from a seed. */
import {Random, createRandom} from '@kelpstep/runtime';

import {DEPLOYMENTS, Deployment, DeploymentName, memberId} from './deployments';

/** Text of an action in the scenario language, without its time. */
type ActionText = string;

/** A fault: the actions that start it and, if it can end, that end it. */
interface Fault {
  readonly starts: readonly ActionText[];
  readonly ends?: ActionText;
}

interface FaultContext {
  readonly random: Random;
  readonly deployment: Deployment;
  readonly proxies: number;
  /**
   * False after a first kill: a second one could permanently lose a majority
   * and records.
   */
  readonly mayKillTarget: boolean;
}

type FaultFactory = (context: FaultContext) => Fault;

const MINIMUM_PROXIES = 3;
const MAXIMUM_PROXIES = 8;
const LOAD_END_MS = 2200;
const FIRST_FAULT_MS = {from: 150, to: 500};
/** Before, during and after the detection and recovery of the first fault. */
const SECOND_FAULT_OFFSET_MS = {from: -100, to: 1100};
const FAULT_DURATION_MS = {from: 20, to: 1200};
const MAXIMUM_LOST_ANSWERS = 6;
const MAXIMUM_DELAY_MS = 600;
const MAXIMUM_AGES_MS: readonly number[] = [150, 600, 2000];

function target({random, deployment}: FaultContext): string {
  const member = memberId(deployment, 0, random.integer(0, 2));
  return random.pick(['primary', 'primary', 'replica-1', member]);
}

function proxy({random, proxies}: FaultContext): string {
  return `proxy-${random.integer(1, proxies)}`;
}

function dataCentre({random, deployment}: FaultContext): string {
  return random.pick(deployment.dataCentres);
}

function killTarget(context: FaultContext): Fault {
  const verb = context.mayKillTarget ? 'kill-target' : 'isolate-target';
  const ends = context.mayKillTarget ? {} : {ends: 'heal-network'};
  return {starts: [`${verb} ${target(context)}`], ...ends};
}

function freezeTarget(context: FaultContext): Fault {
  const name = target(context);
  return {starts: [`freeze-target ${name}`], ends: `thaw-target ${name}`};
}

function isolateReplicas({deployment}: FaultContext): Fault {
  const starts = [0, 1].map(
    index => `isolate-target ${memberId(deployment, 0, index)}`,
  );
  return {starts, ends: 'heal-network'};
}

function lagTarget(context: FaultContext): Fault {
  const name = memberId(context.deployment, 0, context.random.integer(0, 2));
  const lag = context.random.integer(100, 1500);
  return {
    starts: [`lag-target ${name} ${lag}`],
    ends: `lag-target ${name} 20`,
  };
}

function loseAnswers(context: FaultContext): Fault {
  const count = context.random.integer(1, MAXIMUM_LOST_ANSWERS);
  return {starts: [`lose-target-answers ${target(context)} ${count}`]};
}

function delayAnswers(context: FaultContext): Fault {
  const name = memberId(context.deployment, 0, context.random.integer(0, 2));
  const delay = context.random.integer(5, MAXIMUM_DELAY_MS);
  return {
    starts: [`delay-target-answers ${name} ${delay}`],
    ends: `delay-target-answers ${name} 0`,
  };
}

function killProxy(context: FaultContext): Fault {
  const name = proxy(context);
  return {starts: [`kill-proxy ${name}`], ends: `start-proxy ${name}`};
}

function freezeProxy(context: FaultContext): Fault {
  const name = proxy(context);
  return {starts: [`freeze-proxy ${name}`], ends: `thaw-proxy ${name}`};
}

function partitionDataCentre(context: FaultContext): Fault {
  const name = dataCentre(context);
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
  context => ({
    starts: [`isolate-target ${target(context)}`],
    ends: 'heal-network',
  }),
  context => ({
    starts: [`isolate-from-group ${target(context)}`],
    ends: 'heal-network',
  }),
  isolateReplicas,
  lagTarget,
  loseAnswers,
  delayAnswers,
  killProxy,
  freezeProxy,
  context => ({starts: [`stop-proxy ${proxy(context)}`]}),
  context => ({starts: [`silence-proxy ${proxy(context)}`]}),
  context => ({
    starts: [`cut-data-centre ${dataCentre(context)}`],
    ends: 'heal-network',
  }),
  partitionDataCentre,
  context => ({
    starts: [`cut-data-centre-from-platform ${dataCentre(context)}`],
    ends: 'heal-network',
  }),
  () => ({starts: ['platform-down'], ends: 'platform-up'}),
  ({random}) => ({
    starts: [`platform-slow ${random.integer(50, 2000)}`],
    ends: 'platform-up',
  }),
  ({random}) => ({
    starts: [
      `platform-loses-answers ${random.integer(1, MAXIMUM_LOST_ANSWERS)}`,
    ],
  }),
  context => ({starts: [`manifest-leaving ${target(context)}`]}),
  context => ({starts: [`list-leaving ${target(context)}`]}),
  ({random}) => ({starts: [`commit-race ${random.integer(2, 3)}`]}),
];

/** Generates the scenario of a seed, with one or two faults. */
export function writeFaultScript(seed: number): string {
  const random = createRandom(seed);
  const name = random.pick<DeploymentName>(['office', 'utility']);
  const deployment = DEPLOYMENTS[name];
  const proxies = random.integer(MINIMUM_PROXIES, MAXIMUM_PROXIES);
  const firstAt = random.integer(FIRST_FAULT_MS.from, FIRST_FAULT_MS.to);
  const context = {random, deployment, proxies, mayKillTarget: true};
  const lines = timedLines(random, random.pick(FAULTS)(context), firstAt);
  if (random.integer(0, 2) > 0) {
    const mayKillTarget = !lines.some(line => line.includes('kill-target'));
    const fault = random.pick(FAULTS)({...context, mayKillTarget});
    const offset = random.integer(
      SECOND_FAULT_OFFSET_MS.from,
      SECOND_FAULT_OFFSET_MS.to,
    );
    lines.push(...timedLines(random, fault, firstAt + offset));
  }
  return [
    `# Random faults of seed ${seed}.`,
    `deployment ${name}`,
    `proxies ${proxies}`,
    'sessions 4',
    `age ${random.pick(MAXIMUM_AGES_MS)}`,
    'period 80',
    'deadline 1000',
    `end ${LOAD_END_MS}`,
    ...lines,
    '',
  ].join('\n');
}

function timedLines(random: Random, fault: Fault, at: number): string[] {
  const lines = fault.starts.map(action => `at ${at} ${action}`);
  if (fault.ends !== undefined) {
    const length = random.integer(FAULT_DURATION_MS.from, FAULT_DURATION_MS.to);
    lines.push(`at ${at + length} ${fault.ends}`);
  }
  return lines;
}
