package umberrun.workerlist;

/** A source of the list of workers; what it learns goes to the owner. */
public interface WorkerListSource {
  void start();

  /**
   * This front end is told to end: it says so where others look it up, and goes on learning of
   * drains.
   */
  default void deregister() {}
}
