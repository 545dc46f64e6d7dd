/** A set of states that keeps a hash of 64 bits of each. */
import type {SearchState} from './succession_search_state';

const STEPS = ['idle', 'stopping', 'ordered', 'resuming', 'ended'];
const PHASES = ['none', 'stopping', 'ordered', 'done', 'abandoned'];

/** More than the numbers of any state. */
const BUFFER_LENGTH = 256;
const buffer = new Int32Array(BUFFER_LENGTH);
let length = 0;

function put(value: number): void {
  buffer[length++] = value;
}

function putAll(values: readonly number[]): void {
  put(values.length);
  for (const value of values) {
    put(value);
  }
}

/** Writes the numbers of a state to the buffer. */
function write(state: SearchState): void {
  length = 0;
  for (const target of state.targets) {
    putAll(target.log);
    put(target.term);
    put(target.pausedAt);
    put(
      Number(target.isRunning) |
        (Number(target.isListed) << 1) |
        (Number(target.isRecorded) << 2),
    );
  }
  put(state.leader);
  put(
    Number(state.isDemoted) |
      (Number(state.isCut) << 1) |
      (Number(state.hasUninformed) << 2) |
      (Number(state.mayLackCopies) << 3) |
      (Number(state.record.isBroken) << 4) |
      (Number(state.hasStarted) << 5),
  );
  put(state.record.term);
  put(state.knownCommits);
  put(state.era);
  const {row} = state;
  put(row.epoch);
  put(PHASES.indexOf(row.phase));
  put(row.target);
  put(Number(row.isContested));
  put(row.complete.end);
  put(row.complete.primaryEnd);
  for (const promoter of state.promoters) {
    put(STEPS.indexOf(promoter.step));
    put(Number(promoter.holdsRow) | (Number(promoter.sawStopped) << 1));
    put(promoter.epoch);
    put(promoter.from);
    put(promoter.fromTerm);
    put(promoter.target);
    put(promoter.primaryEnd);
    put(promoter.foundEnd);
    put(promoter.complete.end);
    put(promoter.complete.primaryEnd);
    putAll(promoter.answers);
    put(promoter.starts);
    put(promoter.sent);
    put(promoter.choices);
  }
  put(state.orders.length);
  for (const order of state.orders) {
    put(order.epoch);
    put(order.target);
    put(Number(order.isExecuted));
  }
  put(state.fence);
  putAll(state.acknowledged);
  put(state.commits);
  put(state.faults);
}

/** A hash of the buffer, never 0. */
function hash(seed: number, factor: number): number {
  let result = seed;
  for (let index = 0; index < length; index++) {
    result = Math.imul(result ^ (buffer[index] as number), factor);
    result ^= result >>> 15;
  }
  result = Math.imul(result ^ (result >>> 13), 0xc2b2ae35);
  return (result ^ (result >>> 16)) | 1;
}

export interface SearchStateSet {
  size(): number;
  /** False if an equal state was added before. */
  add(state: SearchState): boolean;
}

/** Creates an empty set. */
export function createSearchStateSet(): SearchStateSet {
  let capacity = 1 << 20;
  let hashes = new Int32Array(capacity * 2);
  let size = 0;

  /** Puts a hash into the table; false if it is there. */
  function insert(left: number, right: number): boolean {
    let slot = (left >>> 1) & (capacity - 1);
    for (;;) {
      const other = hashes[2 * slot];
      if (other === 0) {
        hashes[2 * slot] = left;
        hashes[2 * slot + 1] = right;
        return true;
      }
      if (other === left && hashes[2 * slot + 1] === right) {
        return false;
      }
      slot = (slot + 1) & (capacity - 1);
    }
  }

  function grow(): void {
    const previous = hashes;
    capacity *= 2;
    hashes = new Int32Array(capacity * 2);
    for (let index = 0; index < previous.length; index += 2) {
      const left = previous[index] as number;
      if (left !== 0) {
        insert(left, previous[index + 1] as number);
      }
    }
  }

  return {
    size: () => size,
    add(state) {
      write(state);
      const isNew = insert(hash(0x12345, 0x9e3779b1), hash(0x6789, 0x85ebca6b));
      size += isNew ? 1 : 0;
      if (size * 2 > capacity) {
        grow();
      }
      return isNew;
    },
  };
}
