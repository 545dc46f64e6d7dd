/**
 * Sums of the current load over the metrics of several proxies, by group and by
 * client account. Does no input or output.
 */
import type {MetricSample} from './metrics_text';

/** Load of a group of targets. */
export interface GroupLoad {
  readonly group: string;
  /** Open connections for statements. */
  readonly open: number;
  /** Those that single statements use. */
  readonly used: number;
  /** Those that transactions keep. */
  readonly pinned: number;
  readonly queued: number;
  /** Statements refused since the proxies started. */
  readonly refused: number;
  /** Ejected targets, once for each connection owner that ejected them. */
  readonly ejected: number;
}

/** Load of a client account, counted since the proxies started. */
export interface AccountLoad {
  readonly account: string;
  readonly operations: number;
  readonly refusedForQuota: number;
}

/** Load of all groups and accounts, largest first. */
export interface LoadReport {
  readonly groups: readonly GroupLoad[];
  readonly accounts: readonly AccountLoad[];
}

type Counts<F extends string> = Record<F, number>;
type GroupField = Exclude<keyof GroupLoad, 'group'>;
type AccountField = Exclude<keyof AccountLoad, 'account'>;

/** The sum of the accounts that a proxy doesn't list by name. */
const OTHER_ACCOUNTS = 'all others';

/** Fields of a group's load to which a sample is added. */
function groupFieldsOf({name, labels}: MetricSample): readonly GroupField[] {
  const state = labels['state'];
  switch (name) {
    case 'kelpstep_group_connections':
      return state === 'used' || state === 'pinned'
        ? ['open', state]
        : ['open'];
    case 'kelpstep_group_queue':
      return ['queued'];
    case 'kelpstep_refusals_total':
      return ['refused'];
    case 'kelpstep_targets_ejected':
      return ['ejected'];
    default:
      return [];
  }
}

/** Fields of an account's load to which a sample is added. */
function accountFieldsOf({name}: MetricSample): readonly AccountField[] {
  switch (name) {
    case 'kelpstep_account_operations_total':
      return ['operations'];
    case 'kelpstep_account_quota_refusals_total':
      return ['refusedForQuota'];
    default:
      return [];
  }
}

/** Adds a value to fields of the counts of `key`, which start as `zero`. */
function add<F extends string>(
  sums: Map<string, Counts<F>>,
  key: string | undefined,
  zero: Counts<F>,
  fields: readonly F[],
  value: number,
): void {
  if (key === undefined || fields.length === 0) {
    return;
  }
  const counts = sums.get(key) ?? {...zero};
  sums.set(key, counts);
  for (const field of fields) {
    counts[field] += value;
  }
}

const NO_GROUP_LOAD: Counts<GroupField> = {
  open: 0,
  used: 0,
  pinned: 0,
  queued: 0,
  refused: 0,
  ejected: 0,
};
const NO_ACCOUNT_LOAD: Counts<AccountField> = {
  operations: 0,
  refusedForQuota: 0,
};

/** Orders by the keys in turn, the largest first; equal ones by name. */
function largestFirst<T>(
  keys: ReadonlyArray<(load: T) => number>,
  nameOf: (load: T) => string,
): (left: T, right: T) => number {
  return (left, right) => {
    const differences = keys.map(key => key(right) - key(left));
    const difference = differences.find(each => each !== 0);
    return difference ?? (nameOf(left) < nameOf(right) ? -1 : 1);
  };
}

/** Groups by connections in use, then by open ones. */
const BY_CONNECTIONS = largestFirst<GroupLoad>(
  [({used, pinned}) => used + pinned, ({open}) => open],
  ({group}) => group,
);
/** Accounts by operations, then by refusals; the sum of the others is last. */
const BY_OPERATIONS = largestFirst<AccountLoad>(
  [
    ({account}) => (account === OTHER_ACCOUNTS ? 0 : 1),
    ({operations}) => operations,
    ({refusedForQuota}) => refusedForQuota,
  ],
  ({account}) => account,
);

/** Sums the samples of all proxies. */
export function summarizeLoad(samples: Iterable<MetricSample>): LoadReport {
  const groups = new Map<string, Counts<GroupField>>();
  const accounts = new Map<string, Counts<AccountField>>();
  for (const sample of samples) {
    const {labels} = sample;
    // A sum would no longer be a number.
    const value = Number.isFinite(sample.value) ? sample.value : 0;
    const groupFields = groupFieldsOf(sample);
    const accountFields = accountFieldsOf(sample);
    add(groups, labels['group'], NO_GROUP_LOAD, groupFields, value);
    add(accounts, labels['account'], NO_ACCOUNT_LOAD, accountFields, value);
  }
  return {
    groups: [...groups]
      .map(([group, counts]) => ({group, ...counts}))
      .sort(BY_CONNECTIONS),
    accounts: [...accounts]
      .map(([account, counts]) => ({account, ...counts}))
      .sort(BY_OPERATIONS),
  };
}
