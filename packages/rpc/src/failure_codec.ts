/** Conversion between failures and JSON-RPC error objects. */
import {
  ERRORS,
  ErrorName,
  Failure,
  createFailure,
  errorDataSchema,
} from '@kelpstep/protocol';
import type {JSONRPCError} from 'json-rpc-2.0';

/** Converts a failure to a JSON-RPC error object. */
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

/** Parses a JSON-RPC error object; an invalid one becomes `INTERNAL_ERROR`. */
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
