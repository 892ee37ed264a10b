package umberrun.core;

import saddlestall.Dispatcher.WorkerState;

/**
 * One entry of the worker list.
 *
 * @param name the unique name of the worker
 * @param zone index of its hall in the zones of the settings
 * @param kind index of its hardware kind in the kinds of the settings
 * @param cell the failure group that it shares with other workers
 * @param weight its relative capacity
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
    long startedAt) {}
