package umberrun.core;

import saddlestall.Dispatcher.WorkerState;

/**
 * One entry of the worker list.
 *
 * @param name the unique name of the worker
 * @param zone index of its hall in the zones of the settings
 * @param kind index of its hardware kind in the kinds of the settings
 * @param cell the group of workers within which a deduplicated call may be retried
 * @param weight its rating on the list, whose meaning the settings define
 * @param startedAt when it started, in Unix microseconds, or 0 for long ago
 */
public record Endpoint(
    String name,
    String host,
    int port,
    int zone,
    int kind,
    int cell,
    WorkerState state,
    double weight,
    long startedAt) {
  /** This entry for a worker that is gone. */
  Endpoint gone() {
    return new Endpoint(name, host, port, zone, kind, cell, WorkerState.GONE, weight, startedAt);
  }
}
