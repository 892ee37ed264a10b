package umberrun.transport;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Start-time fair queueing. Flows that wait are served in the order of their start tags: the
 * virtual time at which a flow came, or the end of its last service if that is later. A flow that
 * seldom asks is therefore served next, however much the others ask for, and flows that always ask
 * get equal shares of the time. Does no I/O.
 *
 * @param <T> what a flow stands for
 */
final class FairQueue<T> {
  /**
   * One of those who share the time, with its tags. It may be in one queue only.
   *
   * @param <T> what the flow stands for
   */
  static final class Flow<T> {
    private final T owner;
    private long startTag;
    private long finishTag;

    /** Serves flows with equal start tags in the order of their arrival. */
    private long arrival;

    private boolean waiting;

    Flow(T owner) {
      this.owner = owner;
    }

    T owner() {
      return owner;
    }
  }

  private final PriorityQueue<Flow<T>> waiting =
      new PriorityQueue<>(
          Comparator.<Flow<T>>comparingLong(flow -> flow.startTag)
              .thenComparingLong(flow -> flow.arrival));

  private long virtualTime;
  private long arrivals;

  /** Adds a flow, unless it waits already. */
  void add(Flow<T> flow) {
    if (flow.waiting) {
      return;
    }
    flow.waiting = true;
    flow.startTag = Math.max(virtualTime, flow.finishTag);
    flow.arrival = ++arrivals;
    waiting.add(flow);
  }

  /** Removes and returns the flow to be served next; null if none waits. */
  Flow<T> poll() {
    Flow<T> next = waiting.poll();
    if (next != null) {
      next.waiting = false;
      virtualTime = next.startTag;
      next.finishTag = next.startTag;
    }
    return next;
  }

  /** Charges a flow for a service, in units of any kind of cost that is the same for all flows. */
  void charge(Flow<T> flow, long cost) {
    flow.finishTag += cost;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }
}
