package umberrun.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import umberrun.stats.EventLoopMeter;

/**
 * A connection that reads only in its turn, and then at most one quantum. What is not read stays in
 * the buffers of the system, so a connection has nothing in hand here but what one turn has
 * brought, also while reading is paused.
 */
final class ScheduledSocketChannel extends NioSocketChannel
    implements ConnectionInput, EventLoopMeter.Account {
  private final ReadScheduler scheduler;
  private final ReadGroup.Member<ScheduledSocketChannel> member;
  private final ReadQuantum quantum = new ReadQuantum();

  /** Whether it waits for its turn; the selector is not asked for input meanwhile. */
  private boolean waiting;

  private long waitingSince;

  /** How long it had waited for the last turn. */
  private long waitedNanos;

  private boolean inTurn;

  /** What the last turn and the work that it led to have taken. */
  private long nanosSinceTurn;

  /** Whether a read was requested while automatic reading is off. */
  private boolean singleReadRequested;

  private boolean paused;
  private boolean drained = true;
  private boolean ended;

  /** Creates a connection that this process opens. */
  ScheduledSocketChannel(ReadScheduler scheduler) {
    this.scheduler = scheduler;
    this.member = scheduler.join(this);
    config().setRecvByteBufAllocator(() -> new TurnReadHandle(this));
  }

  /** Creates a connection that a listener has accepted. */
  ScheduledSocketChannel(Channel listener, SocketChannel accepted, ReadScheduler scheduler) {
    super(listener, accepted);
    this.scheduler = scheduler;
    this.member = scheduler.join(this);
    config().setRecvByteBufAllocator(() -> new TurnReadHandle(this));
  }

  ReadGroup.Member<ScheduledSocketChannel> member() {
    return member;
  }

  @Override
  public boolean isDrained() {
    return drained && !waiting && (inTurn || !paused);
  }

  @Override
  public long waitedMicros() {
    return waitedNanos / 1_000;
  }

  @Override
  public void readNow() {
    if (!inTurn && !paused) {
      scheduler.meter().run(this, this::takeTurn);
      if (waiting) {
        scheduler.enqueue(this);
      }
    }
  }

  @Override
  public boolean hasEnded() {
    return ended;
  }

  /** The size of the buffer for the next read; 0 outside a turn. */
  int bytesToRead() {
    return inTurn ? quantum.bytes() : 0;
  }

  /** Called when the socket is readable, and by {@link #takeTurn}. */
  @Override
  protected int doReadBytes(ByteBuf buffer) throws Exception {
    if (!inTurn) {
      waiting = true;
      waitingSince = System.nanoTime();
      removeAndSubmit(NioIoOps.READ);
      scheduler.enqueue(this);
      return 0;
    }
    singleReadRequested = false;
    int total = 0;
    while (buffer.isWritable() && !drained) {
      int bytes = readAvailable(buffer);
      drained = bytes <= 0;
      ended = bytes < 0;
      total += Math.max(0, bytes);
    }
    return total == 0 && ended ? -1 : total;
  }

  private int readAvailable(ByteBuf buffer) throws IOException {
    try {
      return buffer.writeBytes(javaChannel(), buffer.writableBytes());
    } catch (IOException e) {
      drained = true;
      ended = true;
      throw e;
    }
  }

  @Override
  protected void doBeginRead() throws Exception {
    singleReadRequested = !config().isAutoRead();
    if (!waiting && !inTurn && !paused) {
      super.doBeginRead();
    }
  }

  /** Reads and handles one quantum. Afterwards it waits for another turn if there is more. */
  void takeTurn() {
    boolean wasWaiting = waiting;
    waiting = false;
    if (!isActive() || !wantsInput()) {
      return;
    }
    quantum.onTurnEnded(!drained, nanosSinceTurn);
    nanosSinceTurn = 0;
    waitedNanos = wasWaiting ? System.nanoTime() - waitingSince : 0;
    inTurn = true;
    drained = false;
    try {
      ((AbstractNioChannel.NioUnsafe) unsafe()).read();
    } finally {
      inTurn = false;
    }
    if (!isActive() || !wantsInput()) {
      return;
    }
    waiting = !drained || ended;
    waitingSince = System.nanoTime();
    member.onTurnEnded(!waiting);
    if (!waiting) {
      awaitInput();
    }
  }

  boolean isWaiting() {
    return waiting;
  }

  @Override
  public void charge(long nanos) {
    nanosSinceTurn += nanos;
    scheduler.charge(this, nanos);
  }

  @Override
  public void pause() {
    paused = true;
  }

  @Override
  public void resume() {
    if (paused) {
      paused = false;
      if (!waiting && !inTurn && isActive() && wantsInput()) {
        awaitInput();
      }
    }
  }

  private boolean wantsInput() {
    return !paused && (config().isAutoRead() || singleReadRequested);
  }

  private void awaitInput() {
    try {
      super.doBeginRead();
    } catch (Exception e) {
      pipeline().fireExceptionCaught(e);
      unsafe().close(voidPromise());
    }
  }

  @Override
  public String describe() {
    return parent() == null
        ? "the connection to " + remoteAddress()
        : "the client " + remoteAddress() + " of " + localAddress();
  }
}
