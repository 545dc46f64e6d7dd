/** What callers ask for: many cheap views, few writes that matter. */
import type {Milliseconds, Random} from '@kelpstep/runtime';
import type {Statement} from '@kelpstep/protocol';

/** A kind of request of the load. */
export interface LoadKind {
  /** As in the manifest that simulated clusters commit. */
  readonly name: string;
  /** Share of all requests, percent. */
  readonly share: number;
  readonly worth: number;
  readonly deadline: Milliseconds;
  readonly method: 'read' | 'write';
  /** Age that a read states. */
  readonly maximumAge?: Milliseconds;
  /** Time in a slot on top of the target's service time. */
  readonly extraTime: Milliseconds;
}

/** Kinds of request; the shares come to 100. */
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

const ALL = 100;

/** Picks the kind of the next request. */
export function pickKind(random: Random): LoadKind {
  let rest = random.fraction() * ALL;
  for (const kind of REQUEST_MIX) {
    rest -= kind.share;
    if (rest < 0) {
      return kind;
    }
  }
  return REQUEST_MIX[0] as LoadKind;
}

/** Mean time that a request keeps a slot. */
export function meanSlotTime(serviceTime: Milliseconds): Milliseconds {
  return REQUEST_MIX.reduce(
    (sum, {share, extraTime}) =>
      sum + (share / ALL) * (serviceTime + extraTime),
    0,
  );
}

/** The statement of a request of a session. */
export function statementOf(kind: LoadKind, session: string): Statement {
  if (kind.method === 'write') {
    return {text: 'set ? ?', parameters: [session, kind.name]};
  }
  return kind.extraTime > 0
    ? {text: 'sleep ?', parameters: [kind.extraTime]}
    : {text: 'get ?', parameters: [session]};
}
