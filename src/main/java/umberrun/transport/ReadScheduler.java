package umberrun.transport;

import io.netty.channel.EventLoop;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import umberrun.stats.EventLoopMeter;

/**
 * Shares the time of the event loop among all connections: each reads in its turn only. The
 * listeners, and all connections that this process opens, get equal shares, and so do the
 * connections of each of them ({@link FairQueue}). Between two runs of turns the event loop polls
 * all sockets and runs its other tasks. To be used on the thread of the event loop only.
 */
public final class ReadScheduler {
  /** Turns are taken for so long before the event loop goes on with its other work. */
  private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

  /** The owner of the connections that this process opens. */
  private static final Object OUTBOUND = new Object();

  /** The connections of one listener, or those that this process opens. */
  private static final class Group {
    private final FairQueue<ScheduledSocketChannel> channels = new FairQueue<>();
    private final FairQueue.Flow<Group> flow = new FairQueue.Flow<>(this);
  }

  private final EventLoopMeter meter;
  private final Map<Object, Group> groups = new IdentityHashMap<>();
  private final FairQueue<Group> waitingGroups = new FairQueue<>();

  /** Whether what was read before still waits to be worked off, so that nothing more is read. */
  private BooleanSupplier backlogged = () -> false;

  private boolean scheduled;

  /** Creates a scheduler that has the meter measure the turns. */
  public ReadScheduler(EventLoopMeter meter) {
    this.meter = meter;
  }

  /** Sets what tells that enough is in hand, so that the next turns wait. */
  public void setBacklogged(BooleanSupplier condition) {
    backlogged = condition;
  }

  /** What measures the event loop. */
  EventLoopMeter meter() {
    return meter;
  }

  /** Has a connection wait for its turn. */
  void enqueue(ScheduledSocketChannel channel) {
    Group group = groupOf(channel);
    group.channels.add(channel.flow());
    waitingGroups.add(group.flow);
    if (!scheduled) {
      scheduled = true;
      EventLoop loop = channel.eventLoop();
      loop.execute(() -> run(loop));
    }
  }

  private Group groupOf(ScheduledSocketChannel channel) {
    Object owner = channel.parent() == null ? OUTBOUND : channel.parent();
    return groups.computeIfAbsent(owner, o -> new Group());
  }

  private void run(EventLoop loop) {
    long startedAt = System.nanoTime();
    while (!waitingGroups.isEmpty()
        && System.nanoTime() - startedAt < RUN_NANOS
        && !backlogged.getAsBoolean()) {
      serveNext();
    }
    scheduled = !waitingGroups.isEmpty();
    if (scheduled) {
      // Tasks run until none is left, whereas a scheduled one runs after the sockets were polled.
      loop.schedule(() -> run(loop), 1, TimeUnit.NANOSECONDS);
    }
  }

  /** Gives a turn to the next connection. */
  private void serveNext() {
    FairQueue.Flow<Group> groupFlow = waitingGroups.poll();
    Group group = groupFlow.owner();
    ScheduledSocketChannel channel = group.channels.poll().owner();
    meter.run(channel, channel::takeTurn);
    if (channel.isWaiting()) {
      group.channels.add(channel.flow());
    }
    if (!group.channels.isEmpty()) {
      waitingGroups.add(groupFlow);
    }
  }

  /** Charges a connection, and its group, for work on its behalf. */
  void charge(ScheduledSocketChannel channel, long nanos) {
    Group group = groupOf(channel);
    group.channels.charge(channel.flow(), nanos);
    waitingGroups.charge(group.flow, nanos);
  }
}
