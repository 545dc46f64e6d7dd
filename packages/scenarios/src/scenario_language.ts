/**
 * The scenario language: a line a statement, `#` starts a comment. Findings of
 * all lines are reported together. `scenarios/README.md` describes it.
 */
import {z} from 'zod';
import {Err, Ok, Result} from 'ts-results';

const count = z.coerce.number().int().positive();
const time = z.coerce.number().int().nonnegative();
const word = z.string().regex(/^[a-z0-9][a-z0-9-]*$/);

/** Settings of a scenario, each at most once; `name value` in the text. */
const settingSchemas = {
  deployment: z.enum(['office', 'utility']),
  proxies: count,
  groups: count,
  sessions: count,
  /** Time between two operations of a session, milliseconds. */
  period: count,
  /** Share of reads among operations, percent. */
  reads: z.coerce.number().int().min(0).max(100),
  /** Age that half of the reads state, milliseconds. */
  age: time,
  /** Replication lag of every replica, milliseconds. */
  lag: time,
  /** Deadline of each request after its start, milliseconds. */
  deadline: count,
  /** End of the load, milliseconds. */
  end: count,
  seeds: count,
} as const;

const settingsSchema = z.object(settingSchemas).partial();

/** Settings that a scenario gives. */
export type ScenarioSettings = z.infer<typeof settingsSchema>;
type SettingName = keyof ScenarioSettings;

/**
 * A target: by member id, or by role in the first group (`primary`,
 * `replica-1`, `replica-2`: as it is when the action happens).
 */
const targetName = word;
const proxyName = word;

/** Actions by name with the schemas of their arguments. */
const actionSchemas = {
  'kill-target': [targetName],
  'freeze-target': [targetName],
  'thaw-target': [targetName],
  'isolate-target': [targetName],
  /** The target keeps in touch with proxies of its data centre only. */
  'isolate-from-group': [targetName],
  'lag-target': [targetName, time],
  'lose-target-answers': [targetName, count],
  'kill-proxy': [proxyName],
  'freeze-proxy': [proxyName],
  'thaw-proxy': [proxyName],
  'stop-proxy': [proxyName],
  'start-proxy': [proxyName],
  'silence-proxy': [proxyName],
  'cut-data-centre': [word],
  'cut-data-centre-from-platform': [word],
  'heal-network': [],
  'platform-down': [],
  'platform-up': [],
  'platform-slow': [time],
  'platform-loses-answers': [count],
  'manifest-leaving': [targetName],
  'list-leaving': [targetName],
  'delay-target-answers': [targetName, time],
} as const satisfies Record<string, readonly z.ZodType[]>;

/** Name of an action. */
export type ActionName = keyof typeof actionSchemas;

/** Something that happens at a time, virtual milliseconds. */
export interface ScenarioAction {
  readonly at: number;
  readonly name: ActionName;
  readonly arguments: ReadonlyArray<string | number>;
  readonly line: number;
}

const expectationSchemas = {
  /** Longest time without a confirmed write after the first action. */
  'write-gap': [time],
  /** Changes of primary after the bootstrap, exactly. */
  'primary-changes': [time],
  /** Least share of stated-age reads that replicas served, percent. */
  'replica-share': [time],
  /** Longest time to refuse a write that begins a second after the first
   * action or later and before the last. */
  'refusal-time': [time],
  /** Least share of operations confirmed, percent. */
  'confirmed-share': [time],
} as const satisfies Record<string, readonly z.ZodType[]>;

/** Name of an expectation. */
export type ExpectationName = keyof typeof expectationSchemas;

/** What must hold at the end besides the invariants. */
export interface Expectation {
  readonly name: ExpectationName;
  readonly value: number;
  readonly line: number;
}

/** A scenario as read. */
export interface Scenario {
  readonly settings: ScenarioSettings;
  readonly actions: readonly ScenarioAction[];
  readonly expectations: readonly Expectation[];
}

/** Something wrong in a scenario's text. */
export interface ScenarioFinding {
  readonly line: number;
  readonly message: string;
}

interface Draft {
  readonly settings: Record<string, unknown>;
  readonly actions: ScenarioAction[];
  readonly expectations: Expectation[];
  readonly findings: ScenarioFinding[];
}

/** Reads a scenario. */
export function readScenario(
  text: string,
): Result<Scenario, ScenarioFinding[]> {
  const draft: Draft = {
    settings: {},
    actions: [],
    expectations: [],
    findings: [],
  };
  text.split('\n').forEach((content, index) => {
    const words = (content.split('#')[0] ?? '').trim().split(/\s+/);
    if (words[0] !== '') {
      readLine(draft, words, index + 1);
    }
  });
  if (draft.findings.length > 0) {
    return Err(draft.findings);
  }
  const {actions, expectations} = draft;
  const settings = settingsSchema.parse(draft.settings);
  return Ok({settings, actions, expectations});
}

function readLine(draft: Draft, words: readonly string[], line: number): void {
  const [keyword = '', ...rest] = words;
  switch (keyword) {
    case 'at':
      readAction(draft, rest, line);
      return;
    case 'expect':
      readExpectation(draft, rest, line);
      return;
    default:
      readSetting(draft, keyword, rest, line);
  }
}

function isKey<T extends object>(
  table: T,
  key: string,
): key is string & keyof T {
  return Object.hasOwn(table, key);
}

function readSetting(
  draft: Draft,
  name: string,
  values: readonly string[],
  line: number,
): void {
  if (!isKey(settingSchemas, name)) {
    draft.findings.push({line, message: `unknown statement: ${name}`});
    return;
  }
  const parsed = parseArguments([settingSchemas[name]], values);
  if (parsed.err) {
    draft.findings.push({line, message: `${name}: ${parsed.val}`});
    return;
  }
  const settingName: SettingName = name;
  draft.settings[settingName] = parsed.val[0];
}

function readAction(
  draft: Draft,
  words: readonly string[],
  line: number,
): void {
  const [at = '', name = '', ...values] = words;
  const when = time.safeParse(at);
  if (!when.success || at === '') {
    draft.findings.push({line, message: `not a time: ${at}`});
    return;
  }
  if (!isKey(actionSchemas, name)) {
    draft.findings.push({line, message: `unknown action: ${name}`});
    return;
  }
  const parsed = parseArguments(actionSchemas[name], values);
  if (parsed.err) {
    draft.findings.push({line, message: `${name}: ${parsed.val}`});
    return;
  }
  draft.actions.push({at: when.data, name, arguments: parsed.val, line});
}

function readExpectation(
  draft: Draft,
  words: readonly string[],
  line: number,
): void {
  const [name = '', ...values] = words;
  if (!isKey(expectationSchemas, name)) {
    draft.findings.push({line, message: `unknown expectation: ${name}`});
    return;
  }
  const parsed = parseArguments(expectationSchemas[name], values);
  if (parsed.err) {
    draft.findings.push({line, message: `${name}: ${parsed.val}`});
    return;
  }
  draft.expectations.push({name, value: Number(parsed.val[0]), line});
}

function parseArguments(
  schemas: readonly z.ZodType[],
  values: readonly string[],
): Result<Array<string | number>, string> {
  if (schemas.length !== values.length) {
    return Err(`takes ${schemas.length} arguments, got ${values.length}`);
  }
  const parsed: Array<string | number> = [];
  for (const [index, schema] of schemas.entries()) {
    const value = schema.safeParse(values[index]);
    if (!value.success) {
      return Err(`argument ${index + 1} is wrong: ${values[index]}`);
    }
    parsed.push(value.data as string | number);
  }
  return Ok(parsed);
}
