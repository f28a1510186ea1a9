// Carries the status page inside the binary, between two symbols that status_page.cpp declares.

    .section .rodata

    .global ibislock_status_page
    .global ibislock_status_page_end
ibislock_status_page:
    .incbin "status_page.html"
ibislock_status_page_end:

    .section .note.GNU-stack,"",%progbits
