package umberrun.workerlist;

/** A source of the list of workers. It passes each change of the list to the dispatch loop. */
public interface WorkerListSource {
  /** Starts to follow the list. */
  void start();

  /**
   * Removes this front end from the source's registry as it shuts down. The list is still followed
   * meanwhile, so that workers that begin to drain get no new work. Does nothing by default.
   */
  default void deregister() {}
}
