/** Request mix: many reads of low worth, few writes of high worth. */
import type {Milliseconds, Random} from '@kelpstep/runtime';
import type {Statement} from '@kelpstep/protocol';

/** Share, worth and limits of one kind of request. */
export interface LoadKind {
  /** A request kind of the manifest that simulated clusters commit. */
  readonly name: string;
  /** Share of all requests in percent. */
  readonly share: number;
  readonly worth: number;
  readonly deadline: Milliseconds;
  readonly method: 'read' | 'write';
  /** Maximum staleness that a read accepts. */
  readonly maximumAge?: Milliseconds;
  /** Time in a slot in addition to the target's service time. */
  readonly extraTime: Milliseconds;
}

/** Request kinds; the shares add up to 100. */
export const REQUEST_MIX: readonly LoadKind[] = [
  {
    name: 'view',
    share: 86,
    worth: 1,
    deadline: 1000,
    method: 'read',
    maximumAge: 2000,
    extraTime: 0,
  },
  {
    name: 'report',
    share: 3,
    worth: 5,
    deadline: 3000,
    method: 'read',
    maximumAge: 5000,
    extraTime: 30,
  },
  {
    name: 'acknowledgement',
    share: 6,
    worth: 20,
    deadline: 2000,
    method: 'write',
    extraTime: 0,
  },
  {
    name: 'entry',
    share: 5,
    worth: 10,
    deadline: 2000,
    method: 'write',
    extraTime: 0,
  },
];

const PERCENT = 100;

/** Picks a kind at random, weighted by share. */
export function pickKind(random: Random): LoadKind {
  let remaining = random.fraction() * PERCENT;
  for (const kind of REQUEST_MIX) {
    remaining -= kind.share;
    if (remaining < 0) {
      return kind;
    }
  }
  return REQUEST_MIX[0] as LoadKind;
}

/** Mean time that a request occupies a slot. */
export function meanSlotTime(serviceTime: Milliseconds): Milliseconds {
  return REQUEST_MIX.reduce(
    (sum, {share, extraTime}) =>
      sum + (share / PERCENT) * (serviceTime + extraTime),
    0,
  );
}

/** Creates the statement of a request; writes set the session's own key. */
export function createStatement(kind: LoadKind, session: string): Statement {
  if (kind.method === 'write') {
    return {text: 'set ? ?', parameters: [session, kind.name]};
  }
  return kind.extraTime > 0
    ? {text: 'sleep ?', parameters: [kind.extraTime]}
    : {text: 'get ?', parameters: [session]};
}
