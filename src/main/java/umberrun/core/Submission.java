package umberrun.core;

/**
 * What became of a request for an invocation.
 *
 * @param invocation the invocation that the request waits for; it may have a result already
 * @param joined whether that is the invocation of an earlier request under the same key, which may
 *     go on for longer than the client of this request waits
 */
public record Submission(Invocation invocation, boolean joined) {}
