package umberrun.core;

import saddlestall.Dispatcher.WorkerState;

/**
 * One line of the list of workers.
 *
 * @param zone position in the settings' zones; likewise {@code kind}
 * @param startedAt Unix microsecond of a late start, or 0
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
    long startedAt) {}
