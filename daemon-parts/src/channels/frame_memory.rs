//! The memory that frames take while they come: whoever connects may announce large ones, on every channel at once.

use std::sync::Arc;

use tokio::{
    io::{AsyncRead, AsyncReadExt},
    sync::{OwnedSemaphorePermit, Semaphore},
};

use crate::process_limits::ProcessLimits;

/// Bytes that are drawn from the budget at once.
const STEP_BYTES: usize = 64 << 10;
/// Bytes of one permit of the budget.
const PERMIT_BYTES: usize = 1 << 10;
/// Bytes of a frame that are read without drawing on the budget: most messages are shorter.
const FREE_BYTES: usize = 8 << 10;

/// A frame, and what it holds of the budget.
pub(super) struct Frame {
    pub body: Vec<u8>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// The budget of all channels of a process.
#[derive(Clone)]
pub(super) struct FrameMemory(Arc<Semaphore>);

impl FrameMemory {
    pub fn new(limits: ProcessLimits) -> Self {
        let permits = limits.frame_bytes() as usize / PERMIT_BYTES;
        FrameMemory(Arc::new(Semaphore::new(permits)))
    }

    /// Reads a frame; none if the connection ends before it. Memory is drawn as bytes come, not as the length claims, and
    /// waited for where it is short.
    pub async fn read_frame(
        &self,
        stream: &mut (impl AsyncRead + Unpin),
        length: usize,
    ) -> Option<Frame> {
        let mut frame = Frame {
            body: Vec::new(),
            _permit: None,
        };
        let free = length.min(FREE_BYTES);
        read_step(stream, &mut frame.body, free).await?;
        while frame.body.len() < length {
            let step = (length - frame.body.len()).min(STEP_BYTES);
            let permit = self.draw(step).await?;
            match &mut frame._permit {
                Some(held) => held.merge(permit),
                held => *held = Some(permit),
            }
            read_step(stream, &mut frame.body, step).await?;
        }
        Some(frame)
    }

    async fn draw(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).ok()?;
        Arc::clone(&self.0).acquire_many_owned(permits).await.ok()
    }
}

/// Reads exactly so many bytes more.
async fn read_step(
    stream: &mut (impl AsyncRead + Unpin),
    body: &mut Vec<u8>,
    bytes: usize,
) -> Option<()> {
    let begin = body.len();
    body.reserve_exact(bytes);
    let read = stream.take(bytes as u64).read_to_end(body).await.ok()?;
    (read == bytes && body.len() == begin + bytes).then_some(())
}
