/** Keeps the table of registrations as the targets of a stand-in group do. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {
  StandInGroup,
  StandInStore,
  StandInTarget,
} from '@kelpstep/stand-ins';
import type {TargetRegistration} from '@kelpstep/targets';

export interface TargetRegistrationsOptions {
  readonly timer: TimerService;
  readonly store: StandInStore;
  readonly table: string;
  readonly group: StandInGroup;
  readonly slots: number;
}

export interface TargetRegistrations {
  /** Writes all entries, and then at an interval those that have changed. */
  start(): void;
  setLeaving(target: string, isLeaving: boolean): void;
  /** Removes and withholds the entry of a target, or writes it from now on. */
  setListed(target: string, isListed: boolean): void;
  isListed(target: string): boolean;
}

/** The entry of a stopped target is removed after three missed heartbeats. */
const ENTRY_LIFETIME_MS: Milliseconds = 3600;
const REGISTRATION_PERIOD_MS: Milliseconds = 100;

export function createTargetRegistrations({
  timer,
  store,
  table,
  group,
  slots,
}: TargetRegistrationsOptions): TargetRegistrations {
  const leaving = new Set<string>();
  const unlisted = new Set<string>();
  const entries = new Map<string, string>();
  const stoppedAt = new Map<string, Milliseconds>();

  function putEntry(target: StandInTarget): void {
    const name = target.target;
    const entry: TargetRegistration = {
      target: name,
      group: group.group,
      address: name,
      dataCentre: name,
      slots,
      isLeaving: leaving.has(name),
      role: target.role(),
      startedAt: target.startedAt(),
    };
    const text = JSON.stringify(entry);
    if (entries.get(name) !== text) {
      entries.set(name, text);
      store.put(table, name, entry);
    }
  }

  function removeEntriesOfLeft(): void {
    const present = new Set(group.targets().map(({target}) => target));
    for (const name of [...entries.keys()]) {
      if (!present.has(name)) {
        entries.delete(name);
        store.remove(table, name);
      }
    }
  }

  function register(): void {
    removeEntriesOfLeft();
    for (const target of group.targets()) {
      const name = target.target;
      if (unlisted.has(name)) {
        continue;
      }
      const since = stoppedAt.get(name);
      if (target.isRunning()) {
        stoppedAt.delete(name);
        putEntry(target);
      } else if (since === undefined) {
        stoppedAt.set(name, timer.now());
      } else if (timer.now() - since > ENTRY_LIFETIME_MS) {
        entries.delete(name);
        store.remove(table, name);
      }
    }
  }

  return {
    start() {
      register();
      timer.every(REGISTRATION_PERIOD_MS, register);
    },
    setLeaving(target, isLeaving) {
      if (isLeaving) {
        leaving.add(target);
      } else {
        leaving.delete(target);
      }
    },
    setListed(target, isListed) {
      if (isListed) {
        unlisted.delete(target);
      } else {
        unlisted.add(target);
        if (entries.delete(target)) {
          store.remove(table, target);
        }
      }
    },
    isListed: target => entries.has(target),
  };
}
