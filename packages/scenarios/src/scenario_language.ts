/**
 * Parser of the scenario language: one statement per line, `#` starts a
 * comment. The findings of all lines are reported together. The language is
 * described in `scenarios/README.md`.
 */
import {z} from 'zod';
import {Err, Ok, Result} from 'ts-results';

const positiveInteger = z.coerce.number().int().positive();
const time = z.coerce.number().int().nonnegative();
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]*$/);

/** Settings of a scenario, written as `name value`. */
const settingSchemas = {
  deployment: z.enum(['office', 'utility']),
  proxies: positiveInteger,
  groups: positiveInteger,
  sessions: positiveInteger,
  /** Number of additional sessions that only read. */
  readers: time,
  /** Time between two operations of a session, milliseconds. */
  period: positiveInteger,
  /** Share of reads among operations, percent. */
  reads: z.coerce.number().int().min(0).max(100),
  /** Staleness bound that half of the reads state, milliseconds. */
  age: time,
  /** Replication lag of every replica, milliseconds. */
  lag: time,
  /** Time from the start of a request to its deadline, milliseconds. */
  deadline: positiveInteger,
  /** End of the load, milliseconds. */
  end: positiveInteger,
  seeds: positiveInteger,
} as const;

const settingsSchema = z.object(settingSchemas).partial();

/** Settings given by a scenario. */
export type ScenarioSettings = z.infer<typeof settingsSchema>;
type SettingName = keyof ScenarioSettings;

/**
 * A target by member id, or by its role in the first group at the time of the
 * action: `primary`, `replica-1` or `replica-2`.
 */
const targetSchema = nameSchema;
const proxySchema = nameSchema;

/** Argument schemas of the actions by name. */
const actionSchemas = {
  'kill-target': [targetSchema],
  'freeze-target': [targetSchema],
  'thaw-target': [targetSchema],
  'isolate-target': [targetSchema],
  /** The target stays connected only to the proxies of its data centre. */
  'isolate-from-group': [targetSchema],
  'lag-target': [targetSchema, time],
  'lose-target-answers': [targetSchema, positiveInteger],
  'kill-proxy': [proxySchema],
  'freeze-proxy': [proxySchema],
  'thaw-proxy': [proxySchema],
  'stop-proxy': [proxySchema],
  'start-proxy': [proxySchema],
  'silence-proxy': [proxySchema],
  'cut-data-centre': [nameSchema],
  'cut-data-centre-from-platform': [nameSchema],
  'heal-network': [],
  'platform-down': [],
  'platform-up': [],
  'platform-slow': [time],
  'platform-loses-answers': [positiveInteger],
  'manifest-leaving': [targetSchema],
  'list-leaving': [targetSchema],
  'commit-race': [positiveInteger],
  'delay-target-answers': [targetSchema, time],
} as const satisfies Record<string, readonly z.ZodType[]>;

/** Name of an action. */
export type ActionName = keyof typeof actionSchemas;

/** An action at a time, virtual milliseconds after the start of the load. */
export interface ScenarioAction {
  readonly at: number;
  readonly name: ActionName;
  readonly arguments: ReadonlyArray<string | number>;
  readonly line: number;
}

const expectationSchemas = {
  /** Longest time without a confirmed write after the first action. */
  'write-gap': [time],
  /** Exact number of primary changes after the bootstrap. */
  'primary-changes': [time],
  /**
   * Minimum share of reads with a staleness bound that replicas served,
   * percent.
   */
  'replica-share': [time],
  /**
   * Longest time to refuse a write that starts at least a second after the
   * first action and before the last one.
   */
  'refusal-time': [time],
  /** Minimum share of confirmed operations, percent. */
  'confirmed-share': [time],
} as const satisfies Record<string, readonly z.ZodType[]>;

/** Name of an expectation. */
export type ExpectationName = keyof typeof expectationSchemas;

/** A condition checked at the end of a run in addition to the invariants. */
export interface Expectation {
  readonly name: ExpectationName;
  readonly value: number;
  readonly line: number;
}

/** A parsed scenario. */
export interface Scenario {
  readonly settings: ScenarioSettings;
  readonly actions: readonly ScenarioAction[];
  readonly expectations: readonly Expectation[];
}

/** An error in the text of a scenario. */
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

/** Parses a scenario; on failure returns all findings. */
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
    draft.findings.push({line, message: `invalid time: ${at}`});
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
    return Err(`expected ${schemas.length} arguments, got ${values.length}`);
  }
  const parsed: Array<string | number> = [];
  for (const [index, schema] of schemas.entries()) {
    const value = schema.safeParse(values[index]);
    if (!value.success) {
      return Err(`invalid argument ${index + 1}: ${values[index]}`);
    }
    parsed.push(value.data as string | number);
  }
  return Ok(parsed);
}
