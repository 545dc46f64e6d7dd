/** Failures as JSON-RPC error objects and back. */
import {
  ERRORS,
  ErrorName,
  Failure,
  createFailure,
  errorDataSchema,
} from '@kelpstep/protocol';
import type {JSONRPCError} from 'json-rpc-2.0';

/** Gives the JSON-RPC error object of a failure. */
export function encodeFailure(failure: Failure): JSONRPCError {
  const {name, message, outcome, retryAfter, term, details} = failure;
  const {code, retryable} = ERRORS[name];
  return {
    code,
    message,
    data: {name, outcome, retryable, retryAfter, term, details},
  };
}

function isErrorName(name: string): name is ErrorName {
  return Object.hasOwn(ERRORS, name);
}

/** Reads a JSON-RPC error object; anything odd becomes `INTERNAL_ERROR`. */
export function decodeFailure(error: JSONRPCError): Failure {
  const data = errorDataSchema.safeParse(error.data);
  if (!data.success || !isErrorName(data.data.name)) {
    return createFailure('INTERNAL_ERROR', {message: error.message});
  }
  const {name, outcome, retryAfter, term, details} = data.data;
  return {
    name,
    message: error.message,
    outcome,
    ...(retryAfter === undefined ? {} : {retryAfter}),
    ...(term === undefined ? {} : {term}),
    ...(details === undefined ? {} : {details}),
  };
}
