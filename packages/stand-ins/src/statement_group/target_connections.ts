/** Connections from proxies to the targets of a stand-in group. */
import {
  type Future,
  type Milliseconds,
  type TimerService,
  createDeferred,
} from '@kelpstep/runtime';
import {
  type ConnectionLoss,
  type ConnectionUser,
  type OpenFailure,
  type OpenedConnection,
  type StatementAnswer,
  type TargetAddress,
  type TargetConnection,
  type TargetRequest,
} from '@kelpstep/statements';
import {Err, Ok, type Result} from 'ts-results';

import type {LinkNetwork} from './link_network';
import type {StandInTarget} from './stand_in_target_types';

export interface TargetConnectionsOptions {
  readonly timer: TimerService;
  readonly network: LinkNetwork;
  readonly connectionLimit: number;
  shouldDropAnswer(): boolean;
  findTarget(name: string): StandInTarget | undefined;
}

/** Opens connections to targets, and resets them. */
export interface TargetConnections {
  open(
    from: string,
    address: TargetAddress,
    user: ConnectionUser,
    timeout: Milliseconds,
    firstRequests?: readonly TargetRequest[],
  ): Future<Result<OpenedConnection, OpenFailure>>;
  /** Closes all connections to a target. */
  resetConnections(name: string): void;
}

/** A new connection and the function that runs requests on its target. */
interface AcceptedConnection {
  readonly connection: TargetConnection;
  run(
    requests: readonly TargetRequest[],
    done: (answers: readonly StatementAnswer[]) => void,
  ): void;
}

export function createTargetConnections(
  options: TargetConnectionsOptions,
): TargetConnections {
  const {timer, network} = options;
  const closersByTarget = new Map<string, Set<() => void>>();

  function closersOf(name: string): Set<() => void> {
    const closers = closersByTarget.get(name) ?? new Set();
    closersByTarget.set(name, closers);
    return closers;
  }

  function createConnection(
    from: string,
    target: StandInTarget,
    session: number,
  ): AcceptedConnection {
    const closers = closersOf(target.target);
    const waiting = new Set<(loss: ConnectionLoss) => void>();
    const listeners: Array<() => void> = [];
    const batches: Array<() => void> = [];
    let isOpen = true;

    /** Runs the batches of a connection one after another. */
    function enqueueBatch(start: () => void): void {
      batches.push(start);
      if (batches.length === 1) {
        start();
      }
    }

    function startNextBatch(): void {
      batches.shift();
      batches[0]?.();
    }

    function end(): void {
      if (!isOpen) {
        return;
      }
      isOpen = false;
      waiting.forEach(settle => settle('closed'));
      listeners.splice(0).forEach(listener => listener());
    }

    function close(): void {
      // The target keeps the session until the close message arrives.
      network.deliver(from, target.target, () => {
        target.endSession(session);
        closers.delete(resetConnection);
      });
      end();
    }

    function resetConnection(): void {
      network.deliver(target.target, from, end);
    }

    /** Runs the requests of a batch one after another. */
    function run(
      requests: readonly TargetRequest[],
      done: (answers: readonly StatementAnswer[]) => void,
    ): void {
      const answers: StatementAnswer[] = [];
      function runNextRequest(): void {
        const request = requests[answers.length];
        if (request === undefined) {
          startNextBatch();
          done(answers);
          return;
        }
        target.handle(session, request, answer => {
          answers.push(answer);
          runNextRequest();
        });
      }
      enqueueBatch(runNextRequest);
    }

    const connection: TargetConnection = {
      send(requests, timeout) {
        const result =
          createDeferred<Result<readonly StatementAnswer[], ConnectionLoss>>();
        function settle(loss: ConnectionLoss): void {
          waiting.delete(settle);
          result.settle(Err(loss));
        }
        if (!isOpen) {
          settle('closed');
          return result.future;
        }
        waiting.add(settle);
        const cancel = timer.after(timeout, () => settle('timed out'));
        function sendAnswers(answers: readonly StatementAnswer[]): void {
          if (options.shouldDropAnswer()) {
            return;
          }
          network.deliver(target.target, from, () => {
            if (isOpen) {
              cancel();
              waiting.delete(settle);
              result.settle(Ok(answers));
            }
          });
        }
        network.deliver(
          from,
          target.target,
          () => run(requests, sendAnswers),
          () => !isOpen,
        );
        return result.future;
      },
      isOpen: () => isOpen,
      close,
      onClosed: listener => void listeners.push(listener),
    };
    closers.add(resetConnection);
    return {connection, run};
  }

  function open(
    from: string,
    address: TargetAddress,
    user: ConnectionUser,
    timeout: Milliseconds,
    firstRequests: readonly TargetRequest[] = [],
  ): Future<Result<OpenedConnection, OpenFailure>> {
    const result = createDeferred<Result<OpenedConnection, OpenFailure>>();
    timer.after(timeout, () => result.settle(Err('timed out')));

    function reply(outcome: Result<OpenedConnection, OpenFailure>): void {
      network.deliver(address.target, from, () => {
        if (!result.settle(outcome) && outcome.ok) {
          outcome.val.connection.close();
        }
      });
    }

    network.deliver(from, address.target, () => {
      const target = options.findTarget(address.target);
      const count = closersOf(address.target).size;
      const mayOpen =
        target?.isRunning() === true && !target.faults.refusesConnections;
      if (target === undefined || !mayOpen) {
        reply(Err('refused'));
        return;
      }
      if (count >= options.connectionLimit) {
        reply(Err('tooManyConnections'));
        return;
      }
      target.open(user, session => {
        const {connection, run} = createConnection(from, target, session);
        const position = target.applied();
        run(firstRequests, firstAnswers =>
          reply(Ok({connection, position, firstAnswers})),
        );
      });
    });
    return result.future;
  }

  function resetConnections(name: string): void {
    const closers = closersByTarget.get(name) ?? new Set();
    closersByTarget.set(name, new Set());
    closers.forEach(end => end());
  }

  return {open, resetConnections};
}
