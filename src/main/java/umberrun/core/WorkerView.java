package umberrun.core;

/**
 * A worker as this front end sees it.
 *
 * @param zone index of its hall in the settings
 * @param kind index of its hardware kind in the settings
 * @param ready whether the list has it as ready and its lease has not ended
 * @param startedAt when it started, in Unix microseconds, or 0 for long ago
 * @param cold whether it was started so recently that it is still warming up
 * @param failing whether the health prober of its hall reports it as failing
 */
public record WorkerView(
    String name,
    int zone,
    int kind,
    boolean ready,
    long startedAt,
    boolean cold,
    boolean failing) {}
